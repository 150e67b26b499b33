package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: a stream goes on at the software version of a report that was replaced, because the request moved to
 * another version before its first event, and this node has not read the later report, or cannot tell which one is the later.
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

    private String takeUp(String first) {
        return system.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: " + first + "\r\n", "prompt");
    }

    @Example
    void nodeWhoseWatchIsBehindAsksForTheLaterReport() {
        system.store.holdWatches(true);
        reportMoved();
        String answer = takeUp("r1");
        assert answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n") : answer;
        assert first.received.isEmpty() && second.received.size() == 1 : first.received;
    }

    @Example
    void nodeWithoutTheStoreRefusesAsNotRun() {
        system.store.setSilent(true);
        reportMoved();
        String answer = takeUp("r1");
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert first.received.isEmpty() && second.received.isEmpty() : first.received;
    }

    /** This node has served the request for another one, which may have sent it to a third one before its first event. */
    @Example
    void servedForAnotherNodeIsNoEvidenceAgainstAReport() {
        String answer = RelaySystem.exchange(
                system.settings().listeners().forwarding(),
                system.request(
                        "/stream/", "s1", "Relay-Forwarding: 1;0;\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
        assert answer.startsWith("HTTP/1.1 200") : answer;
        report("1.1", "{\"llm\":{\"%s\":[\"s1\"]}}".formatted(first.received.isEmpty() ? "v1" : "v2"));
        system.awaitStoreApplied();
        answer = takeUp("s1");
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert first.received.size() + second.received.size() == 1 : second.received;
    }

    /** Two nodes have sent the request, or the store has carried out a write late. */
    @Example
    void contradictoryReportsRefuseAsNotRun() {
        for (String key : List.of("n2/2.0", "n3/1.1", "n3/no number")) {
            system.store.put("cowslipbank/streams/" + key, "{\"llm\":{\"v2\":[\"" + key + "\"]}}");
            report("1.1", "{\"llm\":{\"v1\":[\"" + key + "\"]}}");
            system.awaitStoreApplied();
            String answer = takeUp(key);
            assert answer.startsWith("HTTP/1.1 503") == !key.equals("n2/2.0") : key + " " + answer;
        }
        assert second.received.isEmpty() : second.received;
    }
}
