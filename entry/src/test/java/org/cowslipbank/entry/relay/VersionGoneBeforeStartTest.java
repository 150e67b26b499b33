package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: a node that starts takes the software version that is registered for the only one there was, and
 * lets a stream of a version that has left go on at it.
 */
final class VersionGoneBeforeStartTest {
    private RelaySystem system;
    private RelaySystem restarted;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
        if (restarted != null) {
            restarted.close();
        }
    }

    /** Breaks a stream off after its first event; goes on with one that is taken up. */
    private static void beginOrGoOn(ScriptedUpstream.Received request, Socket socket)
            throws IOException, InterruptedException {
        boolean begins = request.header("Last-Event-Id").isEmpty();
        ScriptedUpstream.beginStream(request, socket, begins ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
        if (begins) {
            ScriptedUpstream.reset(socket);
        } else {
            ScriptedUpstream.endStream(socket);
        }
    }

    private void beginAtFirstVersion() throws Exception {
        system.engine("i-1", "v1", VersionGoneBeforeStartTest::beginOrGoOn);
        system.start();
        String answer = system.send("/stream/", "r1", "", "prompt");
        assert answer.contains("data: a") && !answer.endsWith("0\r\n\r\n") : answer;
    }

    private void assertRefusedByNodeThatStarts(ScriptedUpstream second) throws Exception {
        restarted = new RelaySystem(system.store);
        RelaySystem node = restarted.start();
        String answer = node.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
        assert answer.startsWith("HTTP/1.1 503") : answer;
        assert second.received.isEmpty() : second.received;
        // New streams are not affected.
        assert node.send("/stream/", "r2", "", "prompt").startsWith("HTTP/1.1 200");
    }

    @Example
    void enginesWereReplacedWhileNoNodeRan() throws Exception {
        beginAtFirstVersion();
        system.closeNode();
        system.store.remove("servers/i-1");
        assertRefusedByNodeThatStarts(system.engine("i-2", "v2", VersionGoneBeforeStartTest::beginOrGoOn));
    }

    /** The metadata store took no report on the stream any more. */
    @Example
    void enginesWereReplacedJustBeforeTheNodeWasKilled() throws Exception {
        beginAtFirstVersion();
        ScriptedUpstream second = system.engine("i-2", "v2", VersionGoneBeforeStartTest::beginOrGoOn);
        system.store.remove("servers/i-1");
        system.store.setDown(true);
        system.closeNode();
        system.store.setDown(false);
        assertRefusedByNodeThatStarts(second);
    }
}
