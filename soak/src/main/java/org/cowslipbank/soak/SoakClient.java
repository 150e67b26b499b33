package org.cowslipbank.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
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
    private static final int NO_ROUTE = -1;

    /** Requests sent on one connection, on average. */
    private static final int REQUESTS_PER_CONNECTION = 12;

    /** Requests, on average, after which a client leaves its connection idle for long. */
    private static final int REQUESTS_PER_LONG_PAUSE = 60;

    private static final Credentials ANONYMOUS = new Credentials("", "");

    private static final String[] PATHS = {
        StandInFormats.READ_PATH, StandInFormats.ORDER_PATH, StandInFormats.STREAM_PATH
    };

    private final GuaranteeChecker guarantees;
    private final Random random;
    private final Supplier<Credentials> credentials;
    private final Supplier<SoakNodes.ClientPort> ports;
    private final Optional<RouteHistory> changingRoutes;
    private final int longPauseMillis;
    private final BooleanSupplier stopped;
    private int requestsOnConnection;
    private ClientConnection connection;
    private String node = "";

    /**
     * The team and API key that a request is sent with.
     *
     * @param team name of the team
     * @param key the team's API key
     */
    record Credentials(String team, String key) {}

    private record Response(ClientConnection.Head head, String body, boolean complete) {
        int status() {
            return head.status();
        }
    }

    /**
     * Creates a client.
     *
     * @param guarantees checks each request and its outcome
     * @param random chooses paths, pauses and reconnects
     * @param credentials supplies the team and key of the next request
     * @param ports supplies the client port of a node for a new connection
     * @param changingRoutes the additional routes, if requests are sent to these
     * @param longPauseMillis longest time for which a connection is left idle, in milliseconds, zero to send soon always
     * @param stopped returns true once the client must stop
     */
    SoakClient(
            GuaranteeChecker guarantees,
            Random random,
            Supplier<Credentials> credentials,
            Supplier<SoakNodes.ClientPort> ports,
            Optional<RouteHistory> changingRoutes,
            int longPauseMillis,
            BooleanSupplier stopped) {
        this.guarantees = guarantees;
        this.random = random;
        this.credentials = credentials;
        this.ports = ports;
        this.changingRoutes = changingRoutes;
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
        int route = changingRoutes.map(routes -> routes.draw(random)).orElse(NO_ROUTE);
        boolean anonymous = route != NO_ROUTE && StandInFormats.isAnonymous(route);
        Credentials credential = anonymous ? ANONYMOUS : credentials.get();
        String path = route == NO_ROUTE ? PATHS[random.nextInt(PATHS.length)] : StandInFormats.idlePath(route);
        String id = guarantees.onSent(path, credential.team(), credential.key());
        boolean written = false;
        try {
            connect();
            guarantees.onSentTo(id, node);
            String body = "{\"n\":1}";
            String text = StandInFormats.request(path + id, id, credential.key(), body.length()) + body;
            connection.write(text);
            written = true;
            requestsOnConnection++;
            long sentMillis = System.currentTimeMillis();
            boolean inTouch = !guarantees.isDisturbed(node);
            Response response = readResponse();
            if (route == NO_ROUTE) {
                guarantees.onHead(id, response.status(), response.head().signature());
            } else if (inTouch && !guarantees.isDisturbed(node)) {
                checkRoute(id, route, sentMillis, response);
            }
            recordOutcome(id, path, response);
        } catch (IOException e) {
            close();
            if (written) {
                guarantees.onUnanswered(id, requestsOnConnection > 1, String.valueOf(e.getMessage()));
            }
            guarantees.onFailed();
        }
    }

    private void connect() throws IOException {
        if (connection == null || random.nextInt(REQUESTS_PER_CONNECTION) == 0) {
            close();
            SoakNodes.ClientPort port = ports.get();
            connection = new ClientConnection(port.number(), RESPONSE_TIMEOUT_MILLIS);
            node = port.node();
            requestsOnConnection = 0;
        }
    }

    private void checkRoute(String id, int route, long sentMillis, Response response) {
        boolean ran = !response.head().signature().isEmpty();
        boolean refusedAsUnknown = !ran && GuaranteeChecker.UNKNOWN_KEY_OR_ROUTE.contains(response.status());
        boolean allowed = !ran && !refusedAsUnknown || changingRoutes.get().allows(route, sentMillis, ran);
        guarantees.check(
                allowed,
                id + ", sent to " + node + " at " + sentMillis + " for route " + route + ", "
                        + (ran ? "ran" : "was refused as unknown")
                        + " as no configuration that may be in force allows");
    }

    private void recordOutcome(String id, String path, Response response) {
        boolean closes = response.head().headers().contains("connection: close");
        if (!response.complete() || closes) {
            close();
        }
        if (response.status() == 429
                || response.status() == 503
                || response.status() == 421
                || response.status() == 408) {
            guarantees.onRejected(id, "status " + response.status());
        } else if (response.status() == 200 && response.complete()) {
            guarantees.onServed(
                    id, isExpected(id, path, response), response.head().headers() + response.body());
            guarantees.onWholeSuccess(id, response.head().signature());
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
        return response.body().equals(expected)
                && response.head().headers().contains(signature.toLowerCase(Locale.ROOT));
    }

    private Response readResponse() throws IOException {
        ClientConnection.Head head = connection.readHead();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = connection.readBody(head, body);
        return new Response(head, body.toString(StandardCharsets.UTF_8), complete);
    }

    private void close() {
        if (connection != null) {
            connection.close();
        }
        connection = null;
    }
}
