package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/** A node that hedges, with two plain servers; answers take milliseconds, so a hedge is due after half the objective. */
final class HedgedAttemptsTest {
    private static final int WARM_UP_REQUESTS = 24;

    /** Beyond the time after which a hedge is due, and well below the silence after which the request is moved. */
    private static final long LATE_MILLIS = 200;

    /** Time for which an upstream may work on for a client that is served; stated by the platform's rules. */
    private static final long GONE_MILLIS = 500;

    private static final String NOT_RUN = "X-Not-Executed: 1\r\n";

    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Long> closedNanos = new ConcurrentHashMap<>();
    private volatile CountDownLatch bothSent;
    private volatile ScriptedUpstream.Script firstAttempt = this::awaitClose;
    private volatile ScriptedUpstream.Script secondAttempt = ScriptedUpstream.ok("second");
    private RelaySystem system;
    /** Hedges of the warm-up that lost, and that won: on a busy machine a quick answer may be late. */
    private long lostBefore;

    private long wonBefore;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        arrivals.clear();
        closedNanos.clear();
        bothSent = new CountDownLatch(1);
        start(20);
    }

    private void start(int percent) throws IOException, PeerException {
        system = RelaySystem.withHedges(percent);
        system.upstream("app", "i-1", this::answer);
        system.upstream("app", "i-2", this::answer);
        system.start();
        for (int request = 0; request < WARM_UP_REQUESTS; request++) {
            assert send("/read/", "warm-" + request).endsWith("ok");
            assert send("/order/", "warm-order-" + request).endsWith("ok");
        }
        RelaySystem.await("the hedges of the warm-up have ended", () -> {
            lostBefore = system.metric("relay.hedgesLost");
            wonBefore = system.metric("relay.hedgesWon");
            return system.metric("relay.hedges") == lostBefore + wonBefore;
        });
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
    }

    private String send(String path, String id) {
        return system.send(path, id, "", "");
    }

    private int arrivals(String id) {
        return arrivals.getOrDefault(id, new AtomicInteger()).get();
    }

    private void answer(ScriptedUpstream.Received request, Socket socket) throws IOException, InterruptedException {
        String id = request.header("X-Request-Id");
        int arrival = arrivals.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        if (!id.startsWith("late")) {
            ScriptedUpstream.ok("ok").answer(request, socket);
        } else if (arrival == 1) {
            firstAttempt.answer(request, socket);
        } else {
            bothSent.countDown();
            secondAttempt.answer(request, socket);
        }
    }

    private void awaitClose(ScriptedUpstream.Received request, Socket socket) throws IOException {
        try {
            int end = socket.getInputStream().read();
            assert end < 0 : end;
        } finally {
            closedNanos.put(request.header("X-Request-Id") + socket.getLocalPort(), System.nanoTime());
        }
        socket.close();
    }

    private void awaitClosed(int connections, long sinceNanos) {
        RelaySystem.await("connections are closed", () -> closedNanos.size() == connections);
        for (long nanos : closedNanos.values()) {
            long millis = TimeUnit.NANOSECONDS.toMillis(nanos - sinceNanos);
            assert millis < GONE_MILLIS : millis;
        }
    }

    private void assertHedges(long sent, long won) {
        RelaySystem.await(
                "the hedges have ended",
                () -> system.metric("relay.hedgesWon") == wonBefore + won
                        && system.metric("relay.hedgesLost") == lostBefore + sent - won);
        long hedges = system.metric("relay.hedges") - wonBefore - lostBefore;
        assert hedges == sent : hedges;
    }

    /** Failure guarded against: a stalled server delays the answer, or works on after the other one has answered. */
    @Example
    void freeServerAnswersForStalledOne() {
        String answer = send("/read/", "late");
        long answeredNanos = System.nanoTime();
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("second") : answer;
        awaitClosed(1, answeredNanos);
        assert arrivals("late") == 2;
        assertHedges(1, 1);
    }

    /** Failure guarded against: the hedge's server works on after the first one has answered. */
    @Example
    void firstAnswerWins() {
        firstAttempt = (request, socket) -> {
            bothSent.await();
            ScriptedUpstream.ok("first").answer(request, socket);
        };
        secondAttempt = this::awaitClose;
        String answer = send("/read/", "late");
        long answeredNanos = System.nanoTime();
        assert answer.endsWith("first") : answer;
        awaitClosed(1, answeredNanos);
        assertHedges(1, 0);
    }

    /**
     * Failure guarded against: two servers work on a request for longer than the platform's rules allow. Neither is silent,
     * because both answer other requests.
     */
    @Example
    void attemptsRunTogetherBriefly() throws IOException {
        CountDownLatch firstEnded = new CountDownLatch(1);
        firstAttempt = (request, socket) -> {
            awaitClose(request, socket);
            firstEnded.countDown();
        };
        secondAttempt = (request, socket) -> {
            boolean ended = firstEnded.await(2 * HedgedAttempts.MAX_TOGETHER_MILLIS, TimeUnit.MILLISECONDS);
            ScriptedUpstream.ok(ended ? "alone" : "together").answer(request, socket);
        };
        try (Socket client = system.connect()) {
            ScriptedUpstream.write(client, system.request("/read/", "late", "Content-Length: 0\r\n\r\n"));
            for (int request = 0; client.getInputStream().available() == 0; request++) {
                assert send("/read/", "fast-" + request).endsWith("ok");
            }
            assert RelaySystem.readAnswer(client).endsWith("alone");
        }
        assert arrivals("late") == 2;
        assertHedges(1, 1);
    }

    /** Failure guarded against: a request that crashes servers is sent to two of them at once. */
    @Example
    void suspectOfACrashIsNotHedged() {
        firstAttempt = (request, socket) -> ScriptedUpstream.reset(socket);
        secondAttempt = firstAttempt;
        assert send("/read/deadly", "late-crash").startsWith("HTTP/1.1 502");
        RelaySystem.await(
                "the crash is reported", () -> system.store.keys().stream().anyMatch(key -> key.contains("crashes/")));
        system.awaitStoreApplied();
        firstAttempt = (request, socket) -> {
            Thread.sleep(LATE_MILLIS);
            ScriptedUpstream.ok("alone").answer(request, socket);
        };
        String answer = send("/read/deadly", "late");
        assert answer.endsWith("alone") : answer;
        assertHedges(0, 0);
    }

    /** How one of two attempts that run ends. */
    enum End {
        RESET((request, socket) -> ScriptedUpstream.reset(socket)),
        FAILED(ScriptedUpstream.status(500, "X-Server-Stamp: s\r\n")),
        REFUSED_WITHOUT_PROOF(ScriptedUpstream.status(429, "X-Server-Stamp: s\r\n")),
        REJECTED(ScriptedUpstream.status(503, NOT_RUN));

        private final ScriptedUpstream.Script script;

        End(ScriptedUpstream.Script script) {
            this.script = script;
        }
    }

    /**
     * Failure guarded against: an attempt that fails ends the request, or causes a third send, while the other one runs.
     * The failure comes first; the other server answers later.
     */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void otherAttemptGoesOnAfterAFailure(@ForAll End end, @ForAll boolean firstFails) {
        CountDownLatch failed = new CountDownLatch(1);
        ScriptedUpstream.Script fails = (request, socket) -> {
            bothSent.await();
            end.script.answer(request, socket);
            failed.countDown();
        };
        ScriptedUpstream.Script answers = (request, socket) -> {
            failed.await();
            Thread.sleep(LATE_MILLIS / 4);
            ScriptedUpstream.ok("good").answer(request, socket);
        };
        firstAttempt = firstFails ? fails : answers;
        secondAttempt = firstFails ? answers : fails;
        String answer = send("/read/", "late");
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("good") : answer;
        assert arrivals("late") == 2 : arrivals;
        assertHedges(1, firstFails ? 1 : 0);
    }

    /** Failure guarded against: a request is refused as not run because its hedge was, though its first attempt may run. */
    @Example
    void rejectedHedgeIsNoProofThatNothingRan() {
        secondAttempt = ScriptedUpstream.status(503, NOT_RUN);
        String answer = send("/read/", "late");
        assert answer.startsWith("HTTP/1.1 504") : answer;
        assertHedges(1, 0);
    }

    /** Failure guarded against: a refusal, which says that nothing ran, is passed on although an earlier attempt may have run. */
    @Example
    void refusalAfterAnotherRunIsNotPassedOn() {
        firstAttempt = ScriptedUpstream.status(200, "");
        for (int status : List.of(408, 421, 429, 503)) {
            secondAttempt = ScriptedUpstream.status(status, "X-Server-Stamp: s\r\n");
            String answer = send("/read/", "late-" + status);
            assert arrivals("late-" + status) == 2 : arrivals;
            assert answer.startsWith("HTTP/1.1 502") : status + ": " + answer;
        }
    }

    /** Failure guarded against: servers work on for a client that has left. */
    @Example
    void clientThatLeavesEndsBothAttempts() throws IOException {
        secondAttempt = this::awaitClose;
        try (Socket client = system.connect()) {
            ScriptedUpstream.write(client, system.request("/read/", "late", "Content-Length: 0\r\n\r\n"));
            RelaySystem.await("both attempts are sent", () -> arrivals("late") == 2);
        }
        awaitClosed(2, System.nanoTime());
        assertHedges(1, 0);
    }

    /** Failure guarded against: an order runs twice. */
    @Example
    void orderIsSentOnce() {
        firstAttempt = (request, socket) -> {
            Thread.sleep(LATE_MILLIS);
            ScriptedUpstream.ok("once").answer(request, socket);
        };
        assert send("/order/", "late").endsWith("once");
        assert arrivals("late") == 1;
        assertHedges(0, 0);
    }

    /** Failure guarded against: a node that stops begins work that may not end with it. */
    @Example
    void stoppingNodeSendsNoHedge() throws Exception {
        firstAttempt = (request, socket) -> {
            Thread.sleep(LATE_MILLIS);
            ScriptedUpstream.ok("alone").answer(request, socket);
        };
        Thread stopping = new Thread(() -> {
            try {
                system.node().shutDown();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stopping.start();
        RelaySystem.await("the node stops", () -> RelaySystem.exchange(
                        system.settings().listeners().readiness(), "GET /api/readiness HTTP/1.1\r\n\r\n")
                .startsWith("HTTP/1.1 503"));
        assert send("/read/", "late").endsWith("alone");
        stopping.join();
        assertHedges(0, 0);
    }

    /** Failure guarded against: while all servers are slow, hedges make each of them slower. */
    @Example
    void noHedgeWhileAllServersAreSlow() throws IOException {
        CountDownLatch goOn = new CountDownLatch(1);
        firstAttempt = (request, socket) -> {
            goOn.await();
            ScriptedUpstream.ok("slow").answer(request, socket);
        };
        Set<String> ids = Set.of("late-1", "late-2");
        system.stopClock();
        try (Socket one = system.connect();
                Socket two = system.connect()) {
            ScriptedUpstream.write(one, system.request("/read/", "late-1", "Content-Length: 0\r\n\r\n"));
            ScriptedUpstream.write(two, system.request("/read/", "late-2", "Content-Length: 0\r\n\r\n"));
            RelaySystem.await("both servers are busy", () -> ids.stream().allMatch(id -> arrivals(id) == 1));
            system.advanceClock(LATE_MILLIS);
            // Before the answers: the server that answers first is free, so that the other request may be hedged then.
            assertHedges(0, 0);
            assert ids.stream().allMatch(id -> arrivals(id) == 1) : arrivals;
            goOn.countDown();
            for (Socket client : List.of(one, two)) {
                String answer = RelaySystem.readAnswer(client);
                assert answer.startsWith("HTTP/1.1 200") : answer;
            }
        }
    }

    /** Failure guarded against: more hedges than the operators allow. One request in 25 is late, 1 in 100 may be hedged. */
    @Example
    void limitHoldsUnderManyRequests() throws Exception {
        system.close();
        start(1);
        firstAttempt = (request, socket) -> {
            Thread.sleep(LATE_MILLIS);
            ScriptedUpstream.ok("first").answer(request, socket);
        };
        for (int request = 0; request < 200; request++) {
            String answer = send("/read/", (request % 25 == 24 ? "late-" : "fast-") + request);
            assert answer.startsWith("HTTP/1.1 200") : answer;
        }
        long hedges = system.metric("relay.hedges");
        // The warm-up's requests of the service count as well, and one hedge need not be earned.
        assert hedges >= 1 && 100 * (hedges - 1) <= 200 + 2 * WARM_UP_REQUESTS : hedges;
        assert system.metric("relay.hedgesRefused") >= 1;
    }
}
