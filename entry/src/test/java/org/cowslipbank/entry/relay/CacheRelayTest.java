package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.ports.relay.CacheWire;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

final class CacheRelayTest {
    private static final CacheChange PART = new CacheChange(true, "s", "p", 10);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final CacheRelay relay = new CacheRelay(loop, Clocks.SYSTEM);

    @AfterTry
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void change(List<CacheChange> changes) {
        CacheChanges answer = new CacheChanges(7, 1, false, OptionalLong.empty(), changes);
        loop.submit(() -> relay.onChanges("store", answer, false)).syncUninterruptibly();
    }

    private CompletableFuture<Optional<CacheChanges>> ask(long since) {
        return relay.ask(new CacheWire.Query("store", since, 5_000)).toFuture();
    }

    /** Failure guarded against: a waiting node hears of a part only with its next question. */
    @Example
    void waitingNodesAreAnswered() throws Exception {
        change(List.of());
        long number = ask(0).get(5, TimeUnit.SECONDS).orElseThrow().next();
        CompletableFuture<Optional<CacheChanges>> waiting = ask(number);
        loop.submit(() -> {}).sync();
        change(List.of(PART));
        CacheChanges answer = waiting.get(5, TimeUnit.SECONDS).orElseThrow();
        assert answer.changes().equals(List.of(PART)) && !answer.lost() : answer;
    }

    /** Failure guarded against: nodes go on fetching from a store that this node has lost. */
    @Example
    void lossOfTheStoreIsPassedOnAtOnce() throws Exception {
        change(List.of(PART));
        long number = ask(0).get(5, TimeUnit.SECONDS).orElseThrow().next();
        CompletableFuture<Optional<CacheChanges>> waiting = ask(number);
        loop.submit(() -> {}).sync();
        loop.submit(() -> relay.onLost("store")).sync();
        assert waiting.get(5, TimeUnit.SECONDS).isEmpty();
        assert ask(0).get(5, TimeUnit.SECONDS).isEmpty();
    }

    /** Failure guarded against: a node that does not follow a store answers as if the store were empty. */
    @Example
    void unknownStoreHasNoAnswer() throws Exception {
        assert relay.ask(new CacheWire.Query("other", 0, 100))
                .toFuture()
                .get(5, TimeUnit.SECONDS)
                .isEmpty();
    }
}
