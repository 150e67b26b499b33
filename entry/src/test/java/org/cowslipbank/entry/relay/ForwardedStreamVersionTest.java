package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.model.PeerException;

/**
 * Failure guarded against: a stream that one node has passed on to another goes on at a version other than that of its
 * events. The test stands for the node that passes requests on, and for a third one that serves them in the end.
 */
final class ForwardedStreamVersionTest {
    private static final int STREAMS = 4;
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String REPORT_OF_THIRD_NODE = "{\"llm\":{\"v2\":[\"r1\"]}}";

    private RelaySystem system;

    @BeforeTry
    void setUp() throws IOException, PeerException {
        system = new RelaySystem();
    }

    @AfterTry
    void tearDown() throws IOException {
        system.close();
    }

    private static void goOn(ScriptedUpstream.Received request, Socket socket) throws IOException {
        ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
        ScriptedUpstream.endStream(socket);
    }

    private static boolean takesUp(ScriptedUpstream.Received request) {
        return !request.header("Last-Event-Id").isEmpty();
    }

    /** Goes on with a stream that is taken up; does not answer other requests. */
    private static void goOnOnly(ScriptedUpstream.Received request, Socket socket) throws IOException {
        if (takesUp(request)) {
            goOn(request, socket);
        }
    }

    /** Begins a stream, or goes on with one that is taken up. */
    private static void beginOrGoOn(ScriptedUpstream.Received request, Socket socket) throws IOException {
        if (takesUp(request)) {
            goOn(request, socket);
        } else {
            ScriptedUpstream.beginStream(request, socket, FIRST_EVENT);
        }
    }

    private static List<ScriptedUpstream.Received> takenUpAt(ScriptedUpstream engine) {
        return engine.received.stream()
                .filter(ForwardedStreamVersionTest::takesUp)
                .toList();
    }

    /** Starts the node with an engine of one version that serves, and one of another version that was there just before. */
    private ScriptedUpstream startWithFirstVersion(ScriptedUpstream.Script script) throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", script);
        system.engine("i-2", "v2", ForwardedStreamVersionTest::goOn);
        system.start();
        system.store.remove("servers/i-2");
        system.awaitStoreApplied();
        return first;
    }

    /** Passes a request on to the node, on a connection that stays open. */
    private Socket passOn(String id) throws IOException {
        String[] address = system.settings().listeners().forwarding().split(":");
        Socket socket = new Socket(address[0], Integer.parseInt(address[1]));
        ScriptedUpstream.write(
                socket, system.request("/stream/", id, "Relay-Forwarding: 1;0;-\r\nContent-Length: 0\r\n\r\n"));
        return socket;
    }

    private void awaitReport(String text) {
        RelaySystem.await("the node has reported " + text, () -> system.store.keys().stream()
                .filter(key -> key.startsWith("cowslipbank/streams/n1/"))
                .flatMap(key -> system.store.item(key).stream())
                .anyMatch(item -> NodeItems.decodeText(item.value()).contains(text)));
    }

    private void registerSecondVersion() throws IOException {
        system.engine("i-3", "v2", ForwardedStreamVersionTest::goOn);
        system.awaitStoreApplied();
    }

    private static String takeUp(RelaySystem node) {
        return node.send("/stream/", "t1", "Last-Event-Id: 1\r\nResumes: r1\r\n", "prompt");
    }

    @Example
    void versionOfThePassingNodeCounts() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", ForwardedStreamVersionTest::goOn);
        ScriptedUpstream second = system.engine("i-2", "v2", ForwardedStreamVersionTest::goOn);
        system.start();
        for (int number = 0; number < STREAMS; number++) {
            String id = "s" + number;
            system.store.put("cowslipbank/streams/n2/1." + number, "{\"llm\":{\"v2\":[\"" + id + "\"]}}");
            system.awaitStoreApplied();
            String answer = RelaySystem.exchange(
                    system.settings().listeners().forwarding(),
                    system.request(
                            "/stream/",
                            id,
                            "Relay-Forwarding: 1;1;+v1\r\nLast-Event-Id: 1\r\nConnection: close\r\n"
                                    + "Content-Length: 0\r\n\r\n"));
            assert answer.startsWith("HTTP/1.1 200") : answer;
        }
        assert first.received.size() == STREAMS && second.received.isEmpty() : second.received;
    }

    /** The node was silent for too long, so the request was passed to a third node and began there. */
    @Example
    void requestThatTheNodeOnlySentIsNoOriginOfItsOwn() throws Exception {
        ScriptedUpstream first = startWithFirstVersion(ForwardedStreamVersionTest::goOnOnly);
        try (Socket passing = passOn("r1")) {
            awaitReport("\"v1\":[\"r1\"]");
        }
        system.store.put("cowslipbank/streams/n2/1.0", REPORT_OF_THIRD_NODE);
        registerSecondVersion();
        String answer = takeUp(system);
        assert takenUpAt(first).isEmpty() : answer;
    }

    /** What the node answered came too late at the one that passed the request on, whose client has events of another one. */
    @Example
    void streamThatTheNodeBeganForAnotherIsNoOriginOfItsOwn() throws Exception {
        ScriptedUpstream first = startWithFirstVersion(ForwardedStreamVersionTest::beginOrGoOn);
        try (Socket passing = passOn("r1")) {
            awaitReport("\"v1\":[\"r1\"]");
            assert passing.getInputStream().read() >= 0;
        }
        system.store.put("cowslipbank/streams/n2/1.0", REPORT_OF_THIRD_NODE);
        registerSecondVersion();
        String answer = takeUp(system);
        assert takenUpAt(first).isEmpty() : answer;
    }

    /** The node was suspended, or the store did not take its report, until after the stream had begun at the third node. */
    @Example
    void lateReportOfANodeThatOnlySentIsNoOrigin() throws Exception {
        ScriptedUpstream first = startWithFirstVersion(ForwardedStreamVersionTest::goOnOnly);
        system.store.setReadOnly(true);
        try (Socket passing = passOn("r1")) {
            RelaySystem.await("the engine has the request", () -> !first.received.isEmpty());
        }
        system.store.put("cowslipbank/streams/n2/1.0", REPORT_OF_THIRD_NODE);
        system.store.setReadOnly(false);
        awaitReport("\"v1\":[\"r1\"]");
        registerSecondVersion();
        try (RelaySystem other = new RelaySystem("n3", system.store).start()) {
            String answer = takeUp(other);
            assert takenUpAt(first).isEmpty() : answer;
        }
    }

    /** The node turned out to be cut off from the engines, and the request was passed to a third node. */
    @Example
    void requestThatReachedNoEngineIsNotReported() throws Exception {
        ScriptedUpstream first = startWithFirstVersion(ForwardedStreamVersionTest::goOnOnly);
        first.stopListening();
        try (Socket passing = passOn("r1")) {
            String answer = RelaySystem.readAnswer(passing);
            assert answer.startsWith("HTTP/1.1 503") : answer;
        }
        // Longer than the interval of reports.
        Thread.sleep(600);
        assert system.store.keys().stream()
                        .filter(key -> key.startsWith("cowslipbank/streams/n1/"))
                        .flatMap(key -> system.store.item(key).stream())
                        .noneMatch(item -> NodeItems.decodeText(item.value()).contains("r1"))
                : "a node has reported a request that it sent to no engine";
    }

    /** The client of the node that passes the request on has a comment of the stream, but no event with an identifier. */
    @Example
    void versionIsKeptForAStreamWithoutAnEventIdentifier() throws Exception {
        ScriptedUpstream first = system.engine("i-1", "v1", ForwardedStreamVersionTest::goOn);
        ScriptedUpstream second = system.engine("i-2", "v2", ForwardedStreamVersionTest::goOn);
        system.start();
        for (int number = 0; number < STREAMS; number++) {
            String headers = "Relay-Forwarding: 1;1;+v2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            RelaySystem.exchange(
                    system.settings().listeners().forwarding(), system.request("/stream/", "r" + number, headers));
        }
        assert first.received.isEmpty() && second.received.size() == STREAMS : first.received;
    }
}
