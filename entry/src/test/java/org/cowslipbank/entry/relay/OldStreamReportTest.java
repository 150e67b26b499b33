package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: a stream goes on at the software version of a report that was replaced, because the request moved to
 * another version before its first event, and this node has not read the later report.
 */
final class OldStreamReportTest {
    private RelaySystem system;
    private ScriptedUpstream first;
    private ScriptedUpstream second;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
        first = system.engine("i-1", "v1", OldStreamReportTest::goOn);
        second = system.engine("i-2", "v2", OldStreamReportTest::goOn);
        system.start();
        report("1.0", "{\"llm\":{\"v1\":[\"r1\"],\"v2\":[]}}");
        system.awaitStoreApplied();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
    }

    private static void goOn(ScriptedUpstream.Received request, Socket socket) throws IOException {
        ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
        ScriptedUpstream.endStream(socket);
    }

    private void report(String number, String value) {
        system.store.put("cowslipbank/streams/n2/" + number, value);
    }

    private void reportMoved() {
        report("1.1", "{\"llm\":{\"v2\":[\"r1\"]}}");
    }

    private String takeUp() {
        return system.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
    }

    @Example
    void nodeWhoseWatchIsBehindAsksForTheLaterReport() {
        system.store.holdWatches(true);
        reportMoved();
        String answer = takeUp();
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        assert first.received.isEmpty() && second.received.size() == 1 : first.received;
    }

    @Example
    void nodeWithoutTheStoreRefusesAsNotRun() {
        system.store.setSilent(true);
        reportMoved();
        String answer = takeUp();
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert first.received.isEmpty() && second.received.isEmpty() : first.received;
    }
}
