package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.Socket;

import net.jqwik.api.Example;

/**
 * Failure guarded against: a stream that another node passes on, with the version of its events, goes on at the version of a
 * report that was replaced before the first event.
 */
final class ForwardedStreamVersionTest {
    private static final int STREAMS = 4;

    private static void goOn(ScriptedUpstream.Received request, Socket socket) throws IOException {
        ScriptedUpstream.beginStream(request, socket, "id: 2\ndata: b\n\n");
        ScriptedUpstream.endStream(socket);
    }

    @Example
    void versionOfThePassingNodeCounts() throws Exception {
        try (RelaySystem system = new RelaySystem()) {
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
    }
}
