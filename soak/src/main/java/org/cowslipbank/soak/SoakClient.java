package org.cowslipbank.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInUpstream;

/** Sends one request at a time over a persistent connection and reports each outcome to the checker. */
final class SoakClient implements Runnable {
    private static final int RESPONSE_TIMEOUT_MILLIS = 5_000;
    private static final long MEAN_PAUSE_MILLIS = 25;
    /** Requests sent on one connection, on average. */
    private static final int REQUESTS_PER_CONNECTION = 12;

    /** Requests, on average, after which a client leaves its connection idle for long. */
    private static final int REQUESTS_PER_LONG_PAUSE = 60;

    private static final String[] PATHS = {
        StandInFormats.READ_PATH, StandInFormats.ORDER_PATH, StandInFormats.STREAM_PATH
    };

    private final GuaranteeChecker guarantees;
    private final Random random;
    private final Supplier<Credentials> credentials;
    private final Supplier<Integer> ports;
    private final int longPauseMillis;
    private final BooleanSupplier stopped;
    private int requestsOnConnection;
    private Socket socket;
    private InputStream in;

    /**
     * The team and API key that a request is sent with.
     *
     * @param team name of the team
     * @param key the team's API key
     */
    record Credentials(String team, String key) {}

    private record Response(int status, String head, String body, boolean complete) {
        private static final String SIGNATURE = StandInUpstream.signatureHeader() + ": ";

        String signature() {
            return head.lines()
                    .filter(line -> line.startsWith(SIGNATURE))
                    .map(line -> line.substring(SIGNATURE.length()).trim())
                    .findFirst()
                    .orElse("");
        }
    }

    /**
     * Creates a client.
     *
     * @param guarantees checks each request and its outcome
     * @param random chooses paths, pauses and reconnects
     * @param credentials supplies the team and key of the next request
     * @param ports supplies the client port of a node for a new connection
     * @param longPauseMillis longest time for which a connection is left idle, in milliseconds, zero to send soon always
     * @param stopped returns true once the client must stop
     */
    SoakClient(
            GuaranteeChecker guarantees,
            Random random,
            Supplier<Credentials> credentials,
            Supplier<Integer> ports,
            int longPauseMillis,
            BooleanSupplier stopped) {
        this.guarantees = guarantees;
        this.random = random;
        this.credentials = credentials;
        this.ports = ports;
        this.longPauseMillis = longPauseMillis;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        while (!stopped.getAsBoolean()) {
            sendRequest();
            try {
                boolean longPause = longPauseMillis > 0 && random.nextInt(REQUESTS_PER_LONG_PAUSE) == 0;
                Thread.sleep(random.nextInt(longPause ? longPauseMillis : (int) MEAN_PAUSE_MILLIS * 2));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        close();
    }

    private void sendRequest() {
        Credentials credential = credentials.get();
        String path = PATHS[random.nextInt(PATHS.length)];
        String id = guarantees.onSent(path, credential.team(), credential.key());
        boolean written = false;
        try {
            connect();
            String body = "{\"n\":1}";
            String text = StandInFormats.request(path + id, id, credential.key(), body.length()) + body;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            written = true;
            requestsOnConnection++;
            recordOutcome(id, path, readResponse());
        } catch (IOException e) {
            close();
            if (written) {
                guarantees.onUnanswered(id, requestsOnConnection > 1, String.valueOf(e.getMessage()));
            }
            guarantees.onFailed();
        }
    }

    private void connect() throws IOException {
        if (socket == null || random.nextInt(REQUESTS_PER_CONNECTION) == 0) {
            close();
            socket = new Socket(InetAddress.getLoopbackAddress(), ports.get());
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
            requestsOnConnection = 0;
        }
    }

    private void recordOutcome(String id, String path, Response response) {
        guarantees.onHead(id, response.status(), response.signature());
        boolean closes = response.head().contains("connection: close");
        if (!response.complete() || closes) {
            close();
        }
        if (response.status() == 429
                || response.status() == 503
                || response.status() == 421
                || response.status() == 408) {
            guarantees.onRejected(id, "status " + response.status());
        } else if (response.status() == 200 && response.complete()) {
            guarantees.onServed(id, isExpected(id, path, response), response.head() + response.body());
            guarantees.onWholeSuccess(id, response.signature());
        } else {
            if (!response.complete()) {
                guarantees.onUnanswered(id, requestsOnConnection > 1, "answer is incomplete");
            }
            guarantees.onFailed();
        }
    }

    private static boolean isExpected(String id, String path, Response response) {
        String expected = path.equals(StandInFormats.STREAM_PATH)
                ? IntStream.rangeClosed(1, StandInUpstream.STREAM_EVENTS)
                        .mapToObj(StandInUpstream::event)
                        .collect(Collectors.joining())
                : StandInUpstream.body(id);
        String signature = StandInUpstream.signatureHeader() + ": " + StandInUpstream.signaturePrefix(id);
        return response.body().equals(expected) && response.head().contains(signature.toLowerCase(Locale.ROOT));
    }

    private Response readResponse() throws IOException {
        String head = readLine();
        if (!head.startsWith("HTTP/1.1 ")) {
            throw new IOException("connection ended or sent no HTTP status line: '" + head + "'");
        }
        int status = Integer.parseInt(head.substring(9, 12));
        StringBuilder headers = new StringBuilder();
        int length = 0;
        boolean chunked = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String lower = line.toLowerCase(Locale.ROOT);
            headers.append(lower).append('\n');
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = chunked ? readChunks(body) : readExactly(length, body);
        return new Response(status, headers.toString(), body.toString(StandardCharsets.UTF_8), complete);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine();
            if (size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size, 16);
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
        byte[] bytes = in.readNBytes(length);
        body.write(bytes);
        return bytes.length == length;
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

    private void close() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is dropped whether or not the close succeeds.
            socket = null;
        }
        socket = null;
    }
}
