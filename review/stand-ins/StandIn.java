import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on loopback that reads one request after the other on each channel. */
final class StandIn {
    final String id;
    final long bornMillis = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** A request that was read to its end. */
    record Request(String method, String target, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Answers a request; an IOException ends the channel. */
    interface Handler {
        void answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    StandIn(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void stop() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            System.err.println("cannot close the listener of " + id + ": " + e);
        }
    }

    /** Ends as a crashed process does: the listener is gone and all channels are reset. */
    void crash() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            System.err.println("cannot reset the channels of " + id + ": " + e);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] start = line(in).split(" ");
                Map<String, String> headers = headers(in);
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                String body = new String(exactly(in, length), StandardCharsets.UTF_8);
                handler.answer(new Request(start[0], start[1], headers, body), socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        write(
                out,
                "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("channel ended");
            }
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String header = line(in);
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
            header = line(in);
        }
        return headers;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("channel ended within a body");
        }
        return bytes;
    }
}
