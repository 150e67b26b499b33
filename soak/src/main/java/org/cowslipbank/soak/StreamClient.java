package org.cowslipbank.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStream;
import org.cowslipbank.platform.StandInStream.Event;
import org.cowslipbank.soak.StreamOrderChecker.Attempt;
import org.cowslipbank.soak.StreamOrderChecker.End;

/** Reads one stream after another, takes each that breaks off up at another node, and reports it to the checkers. */
final class StreamClient implements Runnable {
    /** Longest time between two events, before a client gives a request up, from the platform's pages. */
    private static final int GAP_MILLIS = 2_000;

    /** The same beside long prompts: four times the objective of their route. */
    private static final int LONG_GAP_MILLIS = 4 * StandInFormats.Variant.LONG_PROMPTS.streamObjectiveMillis();

    private static final long TOTAL_MILLIS = 12_000;
    private static final int MAX_TAKE_UPS = 3;

    /** Requests for a stream, with those that were rejected. */
    private static final int MAX_ATTEMPTS = 10;

    private static final int MIN_STREAM_MILLIS = 300;
    private static final int MAX_STREAM_MILLIS = 3_000;
    private static final int MIN_INTERVAL_MILLIS = 20;
    private static final int MAX_INTERVAL_MILLIS = 150;

    private static final int MIN_PROMPT_MILLIS = 500;
    private static final int MAX_PROMPT_MILLIS = 3_000;

    /** Longest further pause before a stream is taken up, so that a node which was suspended goes on first. */
    private static final int MAX_TAKE_UP_PAUSE_MILLIS = 800;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 100;
    private static final int MAX_PAUSE_MILLIS = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final GuaranteeChecker guarantees;
    private final StreamOrderChecker order;
    private final Random random;
    private final Supplier<SoakClient.Credentials> credentials;
    private final SoakNodes nodes;
    private final Predicate<String> undisturbed;
    /** True if prompts are long, and streams are taken up at nodes that are out of step. */
    private final boolean releases;

    private final BooleanSupplier stopped;
    private int lastNode = -1;

    /**
     * What a client reports to.
     *
     * @param guarantees checks each request and its outcome
     * @param order checks each stream
     */
    record Checkers(GuaranteeChecker guarantees, StreamOrderChecker order) {}

    /** What the client has of a stream. */
    private static final class Progress {
        private final StandInStream stream;
        private final List<Attempt> attempts = new ArrayList<>();
        /** The request that brought the first event, empty before. */
        private String resumes = "";

        private Event last;
        private int takeUps;
        private long retryAfterMillis;

        Progress(StandInStream stream) {
            this.stream = stream;
        }

        int lastEvent() {
            return last == null ? 0 : last.number();
        }

        boolean isOver() {
            return attempts.size() == MAX_ATTEMPTS
                    || takeUps > MAX_TAKE_UPS
                    || !attempts.isEmpty() && attempts.get(attempts.size() - 1).end() == End.WHOLE;
        }
    }

    /**
     * Creates a client.
     *
     * @param checkers what the client reports to
     * @param random chooses streams, nodes and pauses
     * @param credentials supplies the team and key of the next request
     * @param nodes the nodes
     * @param undisturbed returns whether nodes reach the metadata store and engines of a software version, any if it is
     *     empty, are registered
     * @param kind what disturbs the nodes
     * @param stopped returns true once the client must stop
     */
    StreamClient(
            Checkers checkers,
            Random random,
            Supplier<SoakClient.Credentials> credentials,
            SoakNodes nodes,
            Predicate<String> undisturbed,
            SoakRun.Kind kind,
            BooleanSupplier stopped) {
        this.guarantees = checkers.guarantees();
        this.order = checkers.order();
        this.random = random;
        this.credentials = credentials;
        this.nodes = nodes;
        this.undisturbed = undisturbed;
        this.releases = kind == SoakRun.Kind.RELEASES;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        try {
            while (!stopped.getAsBoolean()) {
                readStream();
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private StandInStream drawStream() {
        int intervalMillis = MIN_INTERVAL_MILLIS + random.nextInt(MAX_INTERVAL_MILLIS - MIN_INTERVAL_MILLIS);
        int millis = MIN_STREAM_MILLIS + random.nextInt(MAX_STREAM_MILLIS - MIN_STREAM_MILLIS);
        String name = "s" + Integer.toHexString(random.nextInt());
        int promptMillis = releases && random.nextInt(3) > 0
                ? MIN_PROMPT_MILLIS + random.nextInt(MAX_PROMPT_MILLIS - MIN_PROMPT_MILLIS)
                : 0;
        return new StandInStream(name, Math.max(2, millis / intervalMillis), intervalMillis, promptMillis);
    }

    private void readStream() throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + TOTAL_MILLIS;
        Progress progress = new Progress(drawStream());
        SoakClient.Credentials credential = credentials.get();
        while (!progress.isOver() && !stopped.getAsBoolean()) {
            long leftMillis = deadlineMillis - System.currentTimeMillis();
            if (leftMillis <= 0) {
                break;
            }
            progress.retryAfterMillis = RETRY_MILLIS;
            int node = drawNode(progress);
            try (ClientConnection connection =
                    new ClientConnection(nodes.clientPort(node), releases ? LONG_GAP_MILLIS : GAP_MILLIS)) {
                lastNode = node;
                request(progress, credential, leftMillis, connection);
            } catch (IOException e) {
                // The node is down; a request is sent to another one.
                lastNode = node;
            }
            if (!progress.isOver()) {
                Thread.sleep(progress.retryAfterMillis + drawPauseMillis(progress));
            }
        }
        if (!progress.attempts.isEmpty()) {
            order.onStream(progress.stream.name(), progress.stream.events(), progress.attempts);
        }
    }

    private int drawPauseMillis(Progress progress) {
        boolean pauses = releases && progress.lastEvent() > 0 && random.nextBoolean();
        return pauses ? random.nextInt(MAX_TAKE_UP_PAUSE_MILLIS) : 0;
    }

    private int drawNode(Progress progress) {
        if (releases && progress.lastEvent() > 0 && random.nextBoolean()) {
            return nodes.drawOutOfStep(random).orElseGet(this::drawNode);
        }
        return drawNode();
    }

    private int drawNode() {
        int node = random.nextInt(nodes.count());
        return node == lastNode ? (node + 1) % nodes.count() : node;
    }

    private void request(
            Progress progress, SoakClient.Credentials credential, long leftMillis, ClientConnection connection) {
        String id = guarantees.onSent(progress.stream.path(), credential.team(), credential.key());
        int lastEvent = progress.lastEvent();
        Optional<StandInStream.TakeUp> takeUp =
                lastEvent == 0 ? Optional.empty() : Optional.of(new StandInStream.TakeUp(progress.resumes, lastEvent));
        String version = lastEvent == 0 ? "" : progress.last.softwareVersion();
        NodeProcess node = nodes.node(lastNode);
        boolean counted = isUndisturbed(node, version);
        long sentAtMillis = System.currentTimeMillis();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        End end = End.BROKEN;
        String detail;
        try {
            connection.write(progress.stream.request(id, credential.key(), leftMillis, takeUp));
            ClientConnection.Head head = connection.readHead();
            detail = Integer.toString(head.status());
            guarantees.onHead(id, head.status(), head.signature());
            end = end(head.status(), connection.readBody(head, body));
            progress.retryAfterMillis = retryAfterMillis(head);
            report(id, head, end);
        } catch (IOException e) {
            guarantees.onFailed();
            detail = String.valueOf(e.getMessage());
        }
        boolean succeeded = end == End.WHOLE || end == End.BROKEN;
        String[] texts = StandInStream.split(succeeded ? body.toString(StandardCharsets.UTF_8) : "");
        List<Event> events = Arrays.stream(texts)
                .limit(texts.length - 1L)
                .map(StandInStream::event)
                .flatMap(Optional::stream)
                .toList();
        progress.attempts.add(new Attempt(
                id,
                node.name(),
                sentAtMillis,
                System.currentTimeMillis(),
                lastEvent,
                end,
                detail,
                events,
                texts[texts.length - 1],
                counted && isUndisturbed(node, version)));
        progress.takeUps += lastEvent > 0 && end != End.REJECTED ? 1 : 0;
        if (!events.isEmpty()) {
            progress.resumes = lastEvent == 0 ? id : progress.resumes;
            progress.last = events.get(events.size() - 1);
        }
    }

    private boolean isUndisturbed(NodeProcess node, String softwareVersion) {
        return System.currentTimeMillis() - node.startedAtMillis() >= SoakPlatform.CONTACT_MILLIS
                && undisturbed.test(softwareVersion);
    }

    private static End end(int status, boolean complete) {
        return switch (status) {
            case 200 -> complete ? End.WHOLE : End.BROKEN;
            case 408, 421, 429, 503 -> End.REJECTED;
            default -> End.FAILED;
        };
    }

    private static long retryAfterMillis(ClientConnection.Head head) {
        String seconds = head.header("retry-after");
        return seconds.isEmpty()
                ? RETRY_MILLIS
                : Math.min(MAX_RETRY_AFTER_MILLIS, (long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND));
    }

    private void report(String id, ClientConnection.Head head, End end) {
        switch (end) {
            case WHOLE -> {
                // Whether the stream is complete is checked over all requests for it.
                guarantees.onServed(id, true, "");
                guarantees.onWholeSuccess(id, head.signature());
            }
            case REJECTED -> guarantees.onRejected(id, "status " + head.status());
            default -> guarantees.onFailed();
        }
    }
}
