package org.cowslipbank.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.cowslipbank.platform.StandInUpstream;

/** A client's connection to a node. */
final class ClientConnection implements Closeable {
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;
    private static final int HEXADECIMAL = 16;

    private final Socket socket;
    private final InputStream in;

    /**
     * The head of a response.
     *
     * @param status its status
     * @param headers its headers in lower case, one a line
     */
    record Head(int status, String headers) {
        String signature() {
            return header(StandInUpstream.signatureHeader());
        }

        /** Returns a header's value, empty if it is absent. */
        String header(String name) {
            return headers.lines()
                    .filter(line -> line.startsWith(name + ":"))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse("");
        }
    }

    /**
     * Connects to a node.
     *
     * @param port its client port on loopback
     * @param readTimeoutMillis longest time without a byte while a response is awaited, in milliseconds
     * @throws IOException if the node does not accept the connection
     */
    ClientConnection(int port, int readTimeoutMillis) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(readTimeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    Head readHead() throws IOException {
        String line = readLine();
        if (!line.startsWith("HTTP/1.1 ")) {
            throw new IOException("connection ended or sent no HTTP status line: '" + line + "'");
        }
        int status = Integer.parseInt(line.substring(STATUS_START, STATUS_END));
        StringBuilder headers = new StringBuilder();
        for (line = readLine(); !line.isEmpty(); line = readLine()) {
            headers.append(line.toLowerCase(Locale.ROOT)).append('\n');
        }
        return new Head(status, headers.toString());
    }

    /**
     * Reads a body as far as it comes.
     *
     * @param head the response's head
     * @param body receives the bytes, also those before an error
     * @return true if the body is complete
     * @throws IOException if the connection breaks
     */
    boolean readBody(Head head, ByteArrayOutputStream body) throws IOException {
        if (head.header("transfer-encoding").contains("chunked")) {
            return readChunks(body);
        }
        String length = head.header("content-length");
        if (!length.isEmpty()) {
            return readExactly(Integer.parseInt(length), body);
        }
        readExactly(Integer.MAX_VALUE, body);
        return true;
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine();
            if (size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size, HEXADECIMAL);
            if (!readExactly(length, body)) {
                return false;
            }
            readLine();
            if (length == 0) {
                return true;
            }
        }
    }

    private boolean readExactly(int length, ByteArrayOutputStream body) throws IOException {
        for (int count = 0; count < length; count++) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            body.write(next);
        }
        return true;
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is dropped whether or not the close succeeds.
            return;
        }
    }
}
