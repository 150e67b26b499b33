package org.cowslipbank.entry.relay;

import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Failure guarded against: an upstream is killed while it writes an answer without a length, its connections close without a
 * reset, and the client gets what was written as a whole answer.
 */
final class KilledUpstreamTest {
    private static final long WRITTEN_MILLIS = 100;

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void answerIsNotWhole(@ForAll RelaySystem.Transport transport, @ForAll("paths") String path) throws Exception {
        AtomicReference<ScriptedUpstream> upstream = new AtomicReference<>();
        try (RelaySystem system = new RelaySystem(transport)) {
            boolean stream = path.equals("/stream/") || path.equals("/once/");
            upstream.set(system.upstream(stream ? "llm" : "app", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, "id: 1\ndata: a\n\n");
                Thread.sleep(WRITTEN_MILLIS);
                upstream.get().stopListening();
                socket.close();
            }));
            system.start();
            String answer = system.send(path, "r1", "", "");
            assert answer.startsWith("HTTP/1.1 50") || !answer.endsWith("0\r\n\r\n") : answer;
        }
    }

    @Provide
    Arbitrary<String> paths() {
        return Arbitraries.of("/once/", "/stream/", "/order/", "/read/");
    }
}
