package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/** Weight versions that are named while engines have older ones; a version's bound is 6 s. */
class VersionSuccessionTest {
    private static final String PROMPT = "X-Model: m\r\nX-Token-Usage: 30,5\r\nX-Prefix-Hash: %s:20,b%s:10\r\n";
    private static final String PLAIN = "Content-Length: 0\r\n\r\n";

    private final AtomicBoolean ended = new AtomicBoolean();
    private RelaySystem system;
    private long namedNanos;

    @BeforeTry
    void startSystem() throws IOException, PeerException {
        system = new RelaySystem();
        // Another node leads the rollout, and gives no orders.
        system.store.put("cowslipbank/leader", "n2#1");
    }

    @AfterTry
    void closeSystem() throws IOException {
        ended.set(true);
        system.close();
    }

    /** Failure guarded against: a newer name puts off the time from which engines without an earlier one are unused. */
    @Example
    void engineWithoutTheFirstOfTwoVersionsIsLeftOutInTime() throws Exception {
        ScriptedUpstream old = engine("i-1", 1, VersionSuccessionTest::shortStream);
        system.start();
        name(2);
        sleepUntil(2_500);
        name(3);
        assert send("before").startsWith("HTTP/1.1 200") : "the bound of the first version is not near";
        sleepUntil(5_300);
        String answer = send("after");
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert old.received.size() == 1 : old.received;
    }

    private String send(String id) {
        return system.send("/stream/", id, PROMPT.formatted("a", 1), "");
    }

    /** Failure guarded against: a request waits in a busy engine and begins on old weights after the bound. */
    @Example
    void requestThatHasNotBegunIsTakenBackBeforeTheBound() throws Exception {
        ScriptedUpstream old = engine("i-1", 1, (request, socket) -> {
            if (request.header("X-Request-Id").equals("running")) {
                runUntilEnd(request, socket);
            }
        });
        system.start();
        name(2);
        try (Socket running = system.connect();
                Socket waiting = system.connect()) {
            sleepUntil(3_000);
            ScriptedUpstream.write(running, system.request("/stream/", "running", PROMPT.formatted("a", 1) + PLAIN));
            RelaySystem.await("the engine is busy", () -> old.received.size() == 1);
            sleepUntil(4_600);
            ScriptedUpstream.write(waiting, system.request("/stream/", "waiting", PROMPT.formatted("a", 2) + PLAIN));
            RelaySystem.await("the request waits in the engine", () -> old.received.size() == 2);
            ScriptedUpstream newer = engine("i-2", 2, VersionSuccessionTest::shortStream);
            String answer = RelaySystem.readAnswer(waiting);
            assert RelaySystem.joined(answer).startsWith("id: 1") : answer;
            assert TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - namedNanos) < 6_000 : "after the bound";
            assert newer.received.size() == 1 : newer.received;
        }
        assert system.metric("relay.takenBack") == 1;
    }

    private static void shortStream(ScriptedUpstream.Received request, Socket socket) throws IOException {
        ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: a\n\n");
        ScriptedUpstream.endStream(socket);
    }

    private void runUntilEnd(ScriptedUpstream.Received request, Socket socket)
            throws IOException, InterruptedException {
        ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: a\n\n");
        for (int event = 2; !ended.get(); event++) {
            Thread.sleep(50);
            ScriptedUpstream.chunk(socket, "id: " + event + "\ndata: a\n\n");
        }
    }

    private ScriptedUpstream engine(String id, int version, ScriptedUpstream.Script script) throws IOException {
        ScriptedUpstream engine = system.upstream("llm", id, script);
        system.store.put(
                "servers/" + id,
                ("{\"Service\":\"llm\",\"Address\":\"%s\",\"Zone\":\"a\",\"Slots\":16,\"State\":\"ready\",\"born\":1,"
                                + "\"Version\":\"v1\",\"Models\":[{\"Name\":\"m\",\"Version\":%d}]}")
                        .formatted(engine.address(), version));
        return engine;
    }

    private void name(int version) {
        system.store.put("op/version/m", "{\"Model\":\"m\",\"Version\":" + version + "}");
        system.awaitStoreApplied();
        if (namedNanos == 0) {
            namedNanos = System.nanoTime();
        }
    }

    private void sleepUntil(long millisAfterFirstName) throws InterruptedException {
        long leftNanos = namedNanos + TimeUnit.MILLISECONDS.toNanos(millisAfterFirstName) - System.nanoTime();
        TimeUnit.NANOSECONDS.sleep(Math.max(0, leftNanos));
    }
}
