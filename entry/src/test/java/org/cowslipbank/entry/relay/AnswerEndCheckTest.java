package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.relay.EngineControl.Report;
import reactor.core.publisher.Mono;

/** Tests the check whether an upstream outlived the close that ends an answer without a length. */
final class AnswerEndCheckTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String CLOSE = "Connection: close\r\nContent-Length: 0\r\n\r\n";
    private static final int STREAMS = 20;
    /** Time for which a test observes that nothing more arrives. */
    private static final long OBSERVED_MILLIS = 200;

    private static ScriptedUpstream.Script closing(String body) {
        return (request, socket) -> {
            ScriptedUpstream.beginWithoutLength(request, socket, body);
            socket.close();
        };
    }

    /** Returns a script of a process that is killed within its answer: it closes without a reset and refuses connections. */
    private static ScriptedUpstream.Script killed(AtomicReference<ScriptedUpstream> upstream, String body) {
        return (request, socket) -> {
            ScriptedUpstream.beginWithoutLength(request, socket, body);
            upstream.get().stopListening();
            socket.close();
        };
    }

    private static boolean isWhole(String answer) {
        return answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n0\r\n\r\n");
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            int next = socket.getInputStream().read();
            assert next >= 0 : read;
            read.append((char) next);
        }
        return read.toString();
    }

    /** Failure guarded against: events wait for the check, or the end of a sound stream comes without it or is lost. */
    @Example
    void onlyTheEndWaitsForTheCheck() throws Exception {
        AtomicReference<Runnable> release = new AtomicReference<>();
        CountDownLatch asked = new CountDownLatch(1);
        try (RelaySystem system = new RelaySystem()) {
            system.upstream("llm", "i-1", closing(FIRST + SECOND));
            system.engines.reporting = report -> Mono.create(sink -> {
                release.set(() -> report.subscribe(sink::success, sink::error));
                asked.countDown();
            });
            system.start();
            try (Socket client = system.connect()) {
                ScriptedUpstream.write(client, system.request("/once/", "r1", CLOSE));
                String begun = readUntil(client, SECOND + "\r\n");
                asked.await();
                Thread.sleep(OBSERVED_MILLIS);
                assert client.getInputStream().available() == 0;
                release.get().run();
                String answer = begun + RelaySystem.readAnswer(client);
                assert isWhole(answer) : answer;
            }
            assert system.metric("relay.answerEndsProved") == 1 : system.metric("relay.answerEndsProved");
            assert system.metric("relay.answerEndCalls") == 1 : system.metric("relay.answerEndCalls");
        }
    }

    /** What an engine does with calls for reports while the check runs. */
    enum Reports {
        SOUND(report -> report, true),
        OF_ANOTHER_START(report -> report.map(AnswerEndCheckTest::restarted), false),
        NONE(report -> Mono.never(), false),
        REFUSED(report -> Mono.error(error(RunState.NOT_RUN)), false),
        RESET(report -> Mono.error(error(RunState.UNKNOWN)), false),
        RESET_ONCE(new ResetOnce(), true),
        LATE(report -> Mono.delay(Duration.ofMillis(OBSERVED_MILLIS)).then(report), true);

        private final UnaryOperator<Mono<Report>> change;
        private final boolean whole;

        Reports(UnaryOperator<Mono<Report>> change, boolean whole) {
            this.change = change;
            this.whole = whole;
        }
    }

    private static final class ResetOnce implements UnaryOperator<Mono<Report>> {
        private final AtomicInteger calls = new AtomicInteger();

        @Override
        public Mono<Report> apply(Mono<Report> report) {
            return calls.getAndIncrement() == 0 ? Mono.error(error(RunState.UNKNOWN)) : report;
        }
    }

    private static PeerException error(RunState runState) {
        return new PeerException(ProcessingStep.ORDER, "engine", runState, "no report");
    }

    private static Report restarted(Report report) {
        return new Report(
                report.versionByModel(),
                report.executingOrder(),
                report.acceptedOrders(),
                report.running(),
                report.queued(),
                OptionalLong.of(report.startedAtMillis().getAsLong() + 1));
    }

    /** Failure guarded against: a stream is whole without proof, or cut off in spite of it, or held beyond the limit. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void reportOfTheSameStartProvesTheEnd(@ForAll Reports reports) throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.upstream("llm", "i-1", closing(FIRST));
            system.engines.reporting = reports.change;
            system.start();
            String answer = system.send("/once/", "r1", "", "");
            assert isWhole(answer) == reports.whole : reports + answer;
            assert answer.contains(FIRST) : reports + answer;
            assert system.engines.reports.size() <= 2 : system.engines.reports;
            // The check ended before the client's time limit.
            String counter = reports.whole ? "relay.answerEndsProved" : "relay.answerEndsUnproved";
            assert system.metric(counter) == 1 : reports + answer;
        }
    }

    /** Failure guarded against: a check that goes on holds the answer beyond the client's time limit. */
    @Example
    void checkEndsAtTheDeadline() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.upstream("llm", "i-1", closing(FIRST));
            system.engines.reporting = report -> Mono.never();
            system.start();
            long beganNanos = System.nanoTime();
            try (Socket client = system.connect()) {
                ScriptedUpstream.write(
                        client,
                        system.request("/once/", "r1", CLOSE).replace("X-Deadline-Ms: 4000", "X-Deadline-Ms: 400"));
                assert !isWhole(RelaySystem.readAnswer(client));
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
            assert millis < ProcessChecks.CHECK_MILLIS : millis;
        }
    }

    /** Failure guarded against: each of many streams that end together makes a call of its own, which are priced. */
    @Example
    void streamsThatEndTogetherShareCalls() throws Exception {
        CountDownLatch begun = new CountDownLatch(STREAMS);
        CountDownLatch end = new CountDownLatch(1);
        try (RelaySystem system = new RelaySystem()) {
            system.upstream("llm", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, FIRST);
                begun.countDown();
                end.await();
                socket.close();
            });
            system.engines.reporting =
                    report -> Mono.delay(Duration.ofMillis(OBSERVED_MILLIS)).then(report);
            system.configure(2, text -> text.replace("\"Slots\":16", "\"Slots\":" + STREAMS));
            system.store.put(
                    "servers/i-1",
                    system.store
                            .item("servers/i-1")
                            .map(item -> new String(item.value()).replace("\"Slots\":16", "\"Slots\":" + STREAMS))
                            .get());
            system.start();
            system.awaitStoreApplied();
            List<Socket> clients = new ArrayList<>();
            for (int number = 0; number < STREAMS; number++) {
                Socket client = system.connect();
                clients.add(client);
                ScriptedUpstream.write(client, system.request("/once/", "r" + number, CLOSE));
            }
            assert begun.await(5, TimeUnit.SECONDS) : begun.getCount();
            end.countDown();
            for (Socket client : clients) {
                String answer = RelaySystem.readAnswer(client);
                assert isWhole(answer) : answer;
                client.close();
            }
            assert system.metric("relay.answerEndCalls") <= 3 : system.metric("relay.answerEndCalls");
            assert system.metric("relay.answerEndsProved") == STREAMS;
        }
    }

    /** Failure guarded against: a stream whose upstream was killed ends early, or repeats or omits events elsewhere. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void streamOfKilledUpstreamGoesOnElsewhere(@ForAll @IntRange(min = 1, max = 2) int events, @ForAll boolean partial)
            throws Exception {
        AtomicReference<ScriptedUpstream> first = new AtomicReference<>();
        String passed = events == 1 ? FIRST : FIRST + SECOND;
        String rest = events == 1 ? SECOND : "";
        AtomicReference<String> resumedAfter = new AtomicReference<>("");
        try (RelaySystem system = new RelaySystem()) {
            first.set(system.upstream("llm", "i-1", killed(first, passed + (partial ? "id: 3\nda" : ""))));
            system.start();
            ScriptedUpstream second = new ScriptedUpstream((request, socket) -> {
                resumedAfter.set(request.header("Last-Event-Id"));
                ScriptedUpstream.beginWithoutLength(request, socket, rest);
                socket.close();
            });
            try (second;
                    Socket client = system.connect()) {
                ScriptedUpstream.write(client, system.request("/stream/", "r1", CLOSE));
                readUntil(client, "\r\n\r\n");
                system.register("llm", "i-2", second.address(), "ready");
                String answer = "x\r\n\r\n" + RelaySystem.readAnswer(client);
                assert answer.endsWith("\r\n0\r\n\r\n") : answer;
                assert RelaySystem.joined(answer).equals(FIRST + SECOND) : answer;
                assert resumedAfter.get().equals(Integer.toString(events)) : resumedAfter;
            }
            assert system.metric("relay.resumes") == 1;
        }
    }

    /** Failure guarded against: a plain answer that was cut counts as whole, or is repeated where that is not allowed. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void plainAnswerOfKilledUpstreamIsRepeatedIfPermitted(@ForAll boolean repeatable) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        List<ScriptedUpstream> both = new ArrayList<>();
        try (RelaySystem system = new RelaySystem()) {
            for (String id : List.of("i-1", "i-2")) {
                AtomicReference<ScriptedUpstream> self = new AtomicReference<>();
                self.set(system.upstream("app", id, (request, socket) -> {
                    if (runs.getAndIncrement() == 0) {
                        killed(self, "par").answer(request, socket);
                    } else {
                        closing("part two").answer(request, socket);
                    }
                }));
                both.add(self.get());
            }
            system.start();
            String answer = system.send(repeatable ? "/read/" : "/order/", "r1", "", "");
            assert answer.startsWith(repeatable ? "HTTP/1.1 200" : "HTTP/1.1 502") : answer;
            assert !repeatable || RelaySystem.body(answer).equals("part two") : answer;
            assert runs.get() == (repeatable ? 2 : 1) : runs;
        }
    }

    /** Failure guarded against: a plain upstream gets more connections than requests because of the checks. */
    @Example
    void connectionOfTheCheckServesTheNextRequest() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            ScriptedUpstream upstream = system.upstream("app", "i-1", closing("one"));
            system.start();
            for (int number = 0; number < STREAMS; number++) {
                String answer = system.send("/order/", "r" + number, "", "");
                assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("one") : answer;
            }
            assert upstream.received.size() == STREAMS : upstream.received.size();
            assert upstream.sockets.size() <= STREAMS + 1 : upstream.sockets.size();
            assert system.engines.reports.isEmpty() : system.engines.reports;
        }
    }

    /** Failure guarded against: an upstream that was started anew at the same address stands for the one that was killed. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void laterStartThatIsRegisteredIsNoProof(@ForAll boolean stream, @ForAll boolean sameId) throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            AtomicReference<ScriptedUpstream> upstream = new AtomicReference<>();
            upstream.set(system.upstream(stream ? "llm" : "app", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, FIRST);
                system.register(
                        stream ? "llm" : "app",
                        sameId ? "i-1" : "i-2",
                        upstream.get().address(),
                        "ready",
                        2);
                system.awaitStoreApplied();
                socket.close();
            }));
            system.start();
            String answer = system.send(stream ? "/once/" : "/order/", "r1", "", "");
            assert stream ? !isWhole(answer) : answer.startsWith("HTTP/1.1 502") : answer;
        }
    }

    /** Failure guarded against: a client that leaves during the check is counted as answered, or keeps the check going. */
    @Example
    void clientMayLeaveDuringTheCheck() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.upstream("llm", "i-1", closing(FIRST));
            system.engines.reporting = report ->
                    Mono.<Report>error(error(RunState.UNKNOWN)).delaySubscription(Duration.ofMillis(OBSERVED_MILLIS));
            system.start();
            try (Socket client = system.connect()) {
                ScriptedUpstream.write(client, system.request("/once/", "r1", CLOSE));
                readUntil(client, FIRST + "\r\n");
                // A client that leaves before the upstream has closed needs no check.
                RelaySystem.await("the check has begun", () -> !system.engines.reports.isEmpty());
            }
            RelaySystem.await("the request has ended", () -> system.metric("relay.clientsGone") == 1);
            Thread.sleep(2 * OBSERVED_MILLIS);
            assert system.engines.reports.size() == 1 : system.engines.reports;
            assert system.metric("relay.unexpectedErrors") == 0;
        }
    }

    /** Failure guarded against: an answer that has no body waits for a check although its connection is open. */
    @Example
    void answerWithoutBodyNeedsNoCheck() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
            system.upstream(
                    "app",
                    "i-1",
                    (request, socket) -> ScriptedUpstream.write(
                            socket,
                            "HTTP/1.1 204 No Content\r\nX-Request-Id: " + request.header("X-Request-Id")
                                    + "\r\nX-Server-Stamp: s\r\n\r\n"));
            system.start();
            assert system.send("/order/", "r1", "", "").startsWith("HTTP/1.1 204");
            assert system.metric("relay.answerEndCalls") == 0;
        }
    }
}
