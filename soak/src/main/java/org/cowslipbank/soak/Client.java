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

/** A client that sends one request after the other, on a connection that it keeps for as long as it lasts. */
final class Client implements Runnable {
    private static final int ANSWER_TIMEOUT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 25;
    private static final int LAST_OF_KEEP = 12;
    private static final String[] PATHS = {
        StandInFormats.READ_PATH, StandInFormats.ORDER_PATH, StandInFormats.STREAM_PATH
    };

    private final Ledger ledger;
    private final Random random;
    private final Supplier<Caller> callers;
    private final Supplier<Integer> ports;
    private final BooleanSupplier stopped;
    private Socket socket;
    private InputStream in;

    /**
     * For whom a request is sent.
     *
     * @param team the team
     * @param key its key
     */
    record Caller(String team, String key) {}

    private record Answer(int status, String head, String body, boolean whole) {}

    /**
     * Creates a client.
     *
     * @param ledger told of each request and its end
     * @param random decides what is asked
     * @param callers gives the team and key of a request
     * @param ports gives the port of a node
     * @param stopped tells when to stop
     */
    Client(Ledger ledger, Random random, Supplier<Caller> callers, Supplier<Integer> ports, BooleanSupplier stopped) {
        this.ledger = ledger;
        this.random = random;
        this.callers = callers;
        this.ports = ports;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        while (!stopped.getAsBoolean()) {
            ask();
            try {
                Thread.sleep(random.nextInt((int) PAUSE_MILLIS * 2));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        close();
    }

    private void ask() {
        Caller caller = callers.get();
        String path = PATHS[random.nextInt(PATHS.length)];
        String id = ledger.onSent(path, caller.team(), caller.key());
        try {
            connect();
            String body = "{\"n\":1}";
            String text = StandInFormats.request(path + id, id, caller.key(), body.length()) + body;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            note(id, path, readAnswer());
        } catch (IOException e) {
            close();
            ledger.onFailed();
        }
    }

    private void connect() throws IOException {
        if (socket == null || random.nextInt(LAST_OF_KEEP) == 0) {
            close();
            socket = new Socket(InetAddress.getLoopbackAddress(), ports.get());
            socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    private void note(String id, String path, Answer answer) {
        boolean closes = answer.head().contains("connection: close");
        if (!answer.whole() || closes) {
            close();
        }
        if (answer.status() == 429 || answer.status() == 503 || answer.status() == 421 || answer.status() == 408) {
            ledger.onRejected(id, "status " + answer.status());
        } else if (answer.status() == 200 && answer.whole()) {
            ledger.onServed(id, isOwn(id, path, answer), answer.head() + answer.body());
        } else {
            ledger.onFailed();
        }
    }

    private static boolean isOwn(String id, String path, Answer answer) {
        String expected = path.equals(StandInFormats.STREAM_PATH)
                ? IntStream.rangeClosed(1, StandInUpstream.STREAM_EVENTS)
                        .mapToObj(StandInUpstream::event)
                        .collect(Collectors.joining())
                : StandInUpstream.body(id);
        String signature = StandInUpstream.signatureHeader() + ": " + StandInUpstream.signature(id);
        return answer.body().equals(expected) && answer.head().contains(signature.toLowerCase(Locale.ROOT));
    }

    private Answer readAnswer() throws IOException {
        String head = line();
        if (!head.startsWith("HTTP/1.1 ")) {
            throw new IOException("no answer");
        }
        int status = Integer.parseInt(head.substring(9, 12));
        StringBuilder headers = new StringBuilder();
        int length = 0;
        boolean chunked = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase(Locale.ROOT);
            headers.append(lower).append('\n');
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = chunked ? readChunks(body) : readExactly(length, body);
        return new Answer(status, headers.toString(), body.toString(StandardCharsets.UTF_8), whole);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line();
            if (size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size, 16);
            if (!readExactly(length, body)) {
                return false;
            }
            line();
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

    private String line() throws IOException {
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
            // The connection is given up in any case.
            socket = null;
        }
        socket = null;
    }
}
