package org.cowslipbank.entry.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.ports.relay.CacheWire;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Passes changes of cache stores on to nodes that do not ask the stores themselves. Runs on the traffic thread. */
final class CacheRelay {
    /** Changes are gathered for this time, so that a waiting node is not answered for each one. */
    static final long GATHER_MILLIS = 100;

    private final EventLoop loop;
    private final Clocks clocks;
    private final Map<String, Passed> byStore = new HashMap<>();

    private record Waiter(long since, MonoSink<Optional<CacheChanges>> sink) {}

    /** What is passed on of one store. */
    private static final class Passed {
        private final CacheLog changes;
        private final List<Waiter> waiters = new ArrayList<>();
        private OptionalLong clockAheadMillis = OptionalLong.empty();
        private boolean current;
        private boolean gathering;

        Passed(long firstNumber) {
            changes = new CacheLog(firstNumber);
        }
    }

    CacheRelay(EventLoop loop, Clocks clocks) {
        this.loop = loop;
        this.clocks = clocks;
    }

    void onChanges(String store, CacheChanges changes, boolean restart) {
        // Numbers begin with the time of day, so that they differ from those of an earlier start.
        boolean first = !byStore.containsKey(store);
        Passed passed = byStore.computeIfAbsent(
                store, key -> new Passed(clocks.wallMillis().getAsLong()));
        if (restart || first) {
            passed.changes.reset(changes.epoch());
        }
        changes.changes().forEach(passed.changes::add);
        if (changes.clockMillis().isPresent()) {
            passed.clockAheadMillis = OptionalLong.of(changes.clockMillis().getAsLong() - clocks.nowMillis());
        }
        passed.current = true;
        if (!passed.gathering && !passed.waiters.isEmpty()) {
            passed.gathering = true;
            loop.schedule(() -> answer(passed), GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The store no longer answers; waiting nodes are told at once, so that they do not use its parts either. */
    void onLost(String store) {
        Passed passed = byStore.get(store);
        if (passed != null) {
            passed.current = false;
            passed.waiters.forEach(waiter -> waiter.sink().success(Optional.empty()));
            passed.waiters.clear();
        }
    }

    /**
     * Answers a node.
     *
     * @param query its question
     * @return the changes, empty if this node does not follow the store now
     */
    Mono<Optional<CacheChanges>> ask(CacheWire.Query query) {
        return Mono.<Optional<CacheChanges>>create(sink -> loop.execute(() -> wait(query, sink)))
                .timeout(Duration.ofMillis(query.waitMillis()), Mono.defer(() -> Mono.just(now(query))));
    }

    private void wait(CacheWire.Query query, MonoSink<Optional<CacheChanges>> sink) {
        Passed passed = byStore.get(query.store());
        if (passed == null || !passed.current || passed.changes.hasChangesSince(query.since())) {
            sink.success(now(query));
        } else {
            Waiter waiter = new Waiter(query.since(), sink);
            passed.waiters.add(waiter);
            sink.onDispose(() -> loop.execute(() -> passed.waiters.remove(waiter)));
        }
    }

    private Optional<CacheChanges> now(CacheWire.Query query) {
        Passed passed = byStore.get(query.store());
        return passed == null || !passed.current ? Optional.empty() : Optional.of(since(passed, query.since()));
    }

    private CacheChanges since(Passed passed, long number) {
        OptionalLong clock = passed.clockAheadMillis.isPresent()
                ? OptionalLong.of(clocks.nowMillis() + passed.clockAheadMillis.getAsLong())
                : OptionalLong.empty();
        return passed.changes.since(number, clock);
    }

    private void answer(Passed passed) {
        passed.gathering = false;
        List<Waiter> waiting = List.copyOf(passed.waiters);
        passed.waiters.clear();
        waiting.forEach(waiter -> waiter.sink().success(Optional.of(since(passed, waiter.since()))));
    }
}
