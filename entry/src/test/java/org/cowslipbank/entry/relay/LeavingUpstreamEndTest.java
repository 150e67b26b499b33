package org.cowslipbank.entry.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Example;

/** Failure guarded against: the exit of an upstream that drains counts as a crash by the requests that it answered last. */
final class LeavingUpstreamEndTest {
    private static final long REPORTED_MILLIS = 400;

    @Example
    void exitAfterTheLastAnswerIsNoCrash() throws Exception {
        AtomicReference<ScriptedUpstream> engine = new AtomicReference<>();
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch draining = new CountDownLatch(1);
        try (RelaySystem system = new RelaySystem()) {
            engine.set(system.upstream("llm", "i-1", (request, socket) -> {
                ScriptedUpstream.beginWithoutLength(request, socket, "id: 1\ndata: a\n\n");
                begun.countDown();
                draining.await();
                engine.get().stopListening();
                socket.close();
            }));
            system.start();
            CompletableFuture<String> answer =
                    CompletableFuture.supplyAsync(() -> system.send("/once/", "r1", "", "prompt"));
            begun.await();
            system.register("llm", "i-1", engine.get().address(), "draining");
            system.awaitStoreApplied();
            draining.countDown();
            // The rest may be missing, so the answer is not passed on as whole.
            assert !answer.get().endsWith("0\r\n\r\n") : answer.get();
            Thread.sleep(REPORTED_MILLIS);
            assert system.store.keys().stream().noneMatch(key -> key.contains("crashes/")) : system.store.keys();
        }
    }
}
