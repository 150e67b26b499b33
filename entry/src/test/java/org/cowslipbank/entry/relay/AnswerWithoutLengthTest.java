package org.cowslipbank.entry.relay;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;

/** Failure guarded against: an answer without a length is cut off, and its client gets a whole answer. */
final class AnswerWithoutLengthTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final long TIMEOUT_MILLIS = 700;
    private static final int LARGE_EVENT_BYTES = 20_000;

    private static void assertCut(String answer) {
        assert answer.startsWith("HTTP/1.1 50") || !answer.endsWith("0\r\n\r\n") : answer;
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void resetIsNoEnd(@ForAll RelaySystem.Transport transport, @ForAll boolean stream, @ForAll boolean atOnce)
            throws Exception {
        try (RelaySystem system = new RelaySystem(transport)) {
            system.upstream(stream ? "llm" : "app", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, EVENT);
                Thread.sleep(atOnce ? 0 : 100);
                ScriptedUpstream.reset(socket);
            });
            system.start();
            assertCut(system.send(stream ? "/once/" : "/order/", "r1", "", ""));
        }
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void resetWhileReadingIsPausedIsNoEnd(@ForAll RelaySystem.Transport transport) throws Exception {
        String event = "data: " + "x".repeat(LARGE_EVENT_BYTES) + "\n\n";
        CountDownLatch written = new CountDownLatch(1);
        try (RelaySystem system = new RelaySystem(transport)) {
            system.upstream("llm", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, event);
                for (int count = 0; count < 20; count++) {
                    ScriptedUpstream.write(socket, event);
                }
                Thread.sleep(100);
                ScriptedUpstream.reset(socket);
                written.countDown();
            });
            system.start();
            try (Socket client = system.connectSlowReader()) {
                ScriptedUpstream.write(
                        client, system.request("/once/", "r1", "Connection: close\r\nContent-Length: 0\r\n\r\n"));
                written.await();
                Thread.sleep(300);
                assertCut(RelaySystem.readAnswer(client));
            }
        }
    }

    /** An upstream ends at its time limit, which it gets with the request, while this node gets no processor time. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void closeAtTheTimeLimitIsNoEnd(@ForAll boolean stream) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (RelaySystem system = new RelaySystem()) {
            system.upstream(stream ? "llm" : "app", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, EVENT);
                begun.countDown();
                Thread.sleep(Long.parseLong(request.header("X-Deadline-Ms")));
                socket.close();
            });
            system.start();
            try (Socket client = system.connect()) {
                ScriptedUpstream.write(
                        client,
                        system.request(
                                        stream ? "/once/" : "/order/",
                                        "r1",
                                        "Connection: close\r\nContent-Length: 0\r\n\r\n")
                                .replace("X-Deadline-Ms: 4000", "X-Deadline-Ms: " + TIMEOUT_MILLIS));
                begun.await();
                Thread.sleep(TIMEOUT_MILLIS / 2);
                system.holdInTask(TIMEOUT_MILLIS);
                assertCut(RelaySystem.readAnswer(client));
            }
        }
    }
}
