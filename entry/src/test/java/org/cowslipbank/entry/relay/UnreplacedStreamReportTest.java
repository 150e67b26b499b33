package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: a node passes the first event of a request on that has moved to another software version, but its
 * report in the metadata store still names the version before, so that other nodes go on with the stream there.
 */
final class UnreplacedStreamReportTest {
    /** Time after which the first engine resets a request that it has not begun to answer. */
    private static final long FIRST_RESET_MILLIS = 1_500;

    /** Time after the first report at which the store stops answering, so that it still counts as reachable at the move. */
    private static final long JUST_BEFORE_THE_MOVE_MILLIS = 300;

    /** Time from the first event of the second engine to its reset. */
    private static final long SECOND_RESET_MILLIS = 400;

    /** Longest time for which the platform's rules allow an event to be on its way. */
    private static final long MAX_HELD_MILLIS = 120;

    private static final long WRITE_MILLIS = 30;

    private final AtomicReference<String> firstVersion = new AtomicReference<>();
    private RelaySystem system;
    private RelaySystem other;
    private ScriptedUpstream v1;
    private ScriptedUpstream v2;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
        v1 = system.engine("i-1", "v1", (request, socket) -> answer("v1", request, socket));
        v2 = system.engine("i-2", "v2", (request, socket) -> answer("v2", request, socket));
        system.start();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
        if (other != null) {
            other.close();
        }
    }

    private void answer(String version, ScriptedUpstream.Received request, Socket socket)
            throws IOException, InterruptedException {
        if (!request.header("Last-Event-Id").isEmpty()) {
            ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: goes on at " + version + "\n\n");
            ScriptedUpstream.endStream(socket);
        } else if (firstVersion.compareAndSet(null, version)) {
            Thread.sleep(FIRST_RESET_MILLIS);
            ScriptedUpstream.reset(socket);
        } else {
            ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: began at " + version + "\n\n");
            Thread.sleep(SECOND_RESET_MILLIS);
            ScriptedUpstream.reset(socket);
        }
    }

    private void awaitReport() {
        RelaySystem.await(
                "the request is reported at the first version",
                () -> firstVersion.get() != null && StoredReports.names(system.store, firstVersion.get(), "r0"));
    }

    /** Takes the stream up at a node that reads what the store held when the first node was killed. */
    private String takeUpElsewhere() throws IOException, PeerException {
        other = new RelaySystem(system.store.copy());
        return other.start().send("/stream/", "t0", "Last-Event-Id: 1\r\nResumes: r0\r\n", "prompt");
    }

    @Example
    void streamThatMovedJustAfterTheStoreFellSilentDoesNotGoOnWhereItWasSentFirst() throws Exception {
        takeUpAfterSilence(JUST_BEFORE_THE_MOVE_MILLIS);
    }

    @Example
    void streamThatMovedLongAfterTheStoreFellSilentDoesNotGoOnWhereItWasSentFirst() throws Exception {
        takeUpAfterSilence(0);
    }

    private void takeUpAfterSilence(long silentAfterMillis) throws Exception {
        CompletableFuture<String> client =
                CompletableFuture.supplyAsync(() -> system.send("/stream/", "r0", "", "prompt"));
        awaitReport();
        Thread.sleep(silentAfterMillis);
        system.store.setSilent(true);
        String begun = client.join();
        system.closeNode();
        String takenUp = takeUpElsewhere();
        boolean began = begun.contains("id: 1");
        boolean wentOnAtFirst = takenUp.contains("goes on at " + firstVersion.get());
        assert !(began && wentOnAtFirst) : begun + "\n" + takenUp;
    }

    /** Failure guarded against: the wait for the report costs clients their first event, or their stream. */
    @Example
    void streamThatMovedGoesOnWhereItBegan() throws Exception {
        system.store.delayWrites(WRITE_MILLIS);
        String begun = system.send("/stream/", "r0", "", "prompt");
        String second = firstVersion.get().equals("v1") ? "v2" : "v1";
        assert begun.contains("began at " + second) : begun;
        assert system.metric("relay.firstEventsHeld") == 1 : system.metric("relay.firstEventsHeld");
        assert system.maxMillis("relay.firstEventHeldMillis") <= MAX_HELD_MILLIS
                : system.maxMillis("relay.firstEventHeldMillis");
        system.closeNode();
        String takenUp = takeUpElsewhere();
        assert takenUp.contains("goes on at " + second) && takenUp.endsWith("0\r\n\r\n") : takenUp;
    }

    /** Failure guarded against: streams wait for the store although they were sent to one version only. */
    @Example
    void nothingIsHeldWithoutAMove() {
        firstVersion.set("none is to be left");
        for (int number = 0; number < 6; number++) {
            String begun = system.send("/stream/", "s" + number, "", "prompt");
            assert begun.contains("id: 1") : begun;
        }
        assert system.metric("relay.firstEventsHeld") == 0 : system.metric("relay.firstEventsHeld");
    }
}
