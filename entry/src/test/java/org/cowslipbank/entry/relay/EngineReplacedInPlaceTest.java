package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: an engine starts again under its identifier with another software version, and a stream of the
 * earlier version goes on there before the new registration is read.
 */
final class EngineReplacedInPlaceTest {
    private static final long RESTARTED_AT_MILLIS = 2;

    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch otherRegistered = new CountDownLatch(1);
    private final AtomicInteger resumed = new AtomicInteger();
    private RelaySystem system;
    private ScriptedUpstream other;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
        system.engine("i-1", "v1", (request, socket) -> {
            ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: a\n\n");
            begun.countDown();
            otherRegistered.await();
            ScriptedUpstream.reset(socket);
        });
        system.start();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
    }

    private void goOn(ScriptedUpstream.Received request, Socket socket) throws IOException, InterruptedException {
        resumed.incrementAndGet();
        ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
        ScriptedUpstream.endStream(socket);
    }

    /** Begins a stream at the first engine, which breaks it off once another one is registered. */
    private Thread beginStream(StringBuilder answer) throws Exception {
        Thread client = new Thread(() -> answer.append(system.send("/stream/", "r1", "", "prompt")));
        client.start();
        assert begun.await(10, TimeUnit.SECONDS);
        other = system.engine("i-2", "v1", this::goOn);
        system.awaitStoreApplied();
        return client;
    }

    private void restartUnregistered() {
        system.engines.startedAtMillis.put(other.address(), RESTARTED_AT_MILLIS);
    }

    @Example
    void streamIsNotResumedThere() throws Exception {
        StringBuilder answer = new StringBuilder();
        Thread client = beginStream(answer);
        restartUnregistered();
        otherRegistered.countDown();
        client.join();
        assert resumed.get() == 0 : answer;
        assert answer.indexOf("data: a") >= 0 && !answer.toString().endsWith("0\r\n\r\n") : answer;
    }

    @Example
    void streamIsNotTakenUpThere() throws Exception {
        StringBuilder answer = new StringBuilder();
        Thread client = beginStream(answer);
        system.store.remove("servers/i-1");
        system.awaitStoreApplied();
        restartUnregistered();
        String takenUp = system.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
        otherRegistered.countDown();
        client.join();
        assert resumed.get() == 0 && takenUp.startsWith("HTTP/1.1 503") : takenUp;
    }

    /** The engine is asked once for each connection. */
    @Example
    void streamsGoOnAtTheRegisteredProcess() throws Exception {
        StringBuilder answer = new StringBuilder();
        Thread client = beginStream(answer);
        otherRegistered.countDown();
        client.join();
        assert resumed.get() == 1 && answer.toString().endsWith("0\r\n\r\n") : answer;
        system.store.remove("servers/i-1");
        system.awaitStoreApplied();
        String takenUp = system.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
        assert takenUp.startsWith("HTTP/1.1 200") && takenUp.endsWith("0\r\n\r\n") : takenUp;
        assert system.metric("relay.identityCalls") == 1 : system.metric("relay.identityCalls");
    }
}
