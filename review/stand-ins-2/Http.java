import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on loopback, with one thread for each connection. */
final class Http {
    /** A head and its body. Header names are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name, String other) {
            return headers.getOrDefault(name.toLowerCase(), other);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String query(String name, String other) {
            int mark = target().indexOf('?');
            if (mark < 0) {
                return other;
            }
            for (String pair : target().substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                if (parts[0].equals(name)) {
                    return java.net.URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8);
                }
            }
            return other;
        }
    }

    /** Answers one request on its connection. */
    interface Handler {
        void answer(Message request, Socket socket, OutputStream out) throws Exception;
    }

    private final Handler handler;
    private final InetSocketAddress address;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    /** Starts to listen; port zero takes any. */
    Http(String ip, int port, Handler handler) throws IOException {
        this.handler = handler;
        ServerSocket first = bind(new InetSocketAddress(InetAddress.getByName(ip), port));
        this.address = new InetSocketAddress(InetAddress.getByName(ip), first.getLocalPort());
        accept(first);
    }

    private static ServerSocket bind(InetSocketAddress at) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(at, 512);
        return socket;
    }

    private void accept(ServerSocket on) {
        listener = on;
        daemon(() -> {
            while (!on.isClosed()) {
                Socket socket = on.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    int port() {
        return address.getPort();
    }

    /** Ends the server as a killed process ends: its port refuses connections, and the kernel closes all that are open. */
    void kill() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    /** Listens again at the same port. */
    void startAgain() throws IOException {
        accept(bind(address));
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Message request = read(in);
            while (request != null) {
                handler.answer(request, socket, out);
                request = read(in);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** A step that may fail because its connection has ended. */
    interface Step {
        void run() throws Exception;
    }

    static Thread daemon(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a head; returns null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 1; index < lines.length; index++) {
            String[] parts = lines[index].split(":", 2);
            headers.put(parts[0].toLowerCase(), parts[1].trim());
        }
        return new Message(lines[0], headers, new byte[0]);
    }

    /** Reads a message with its body; returns null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body = in.readNBytes(Integer.parseInt(head.header("Content-Length", "0")));
        return new Message(head.firstLine(), head.headers(), body);
    }

    /** Reads one chunk of a body; returns null behind the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("connection ended within a body");
            }
            line.append((char) next);
            next = in.read();
        }
        int length = Integer.parseInt(line.toString().trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || in.readNBytes(2).length < 2) {
            throw new IOException("connection ended within a chunk");
        }
        return length == 0 ? null : chunk;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static void writeJson(OutputStream out, int status, String headers, Object body) throws IOException {
        write(
                out,
                "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\n" + headers,
                Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        chunk.write(bytes);
        chunk.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.write(chunk.toByteArray());
        out.flush();
    }
}
