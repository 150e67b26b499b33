package org.cowslipbank.bench.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.Lease;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * A key-value service in memory on a virtual clock. A call takes effect after half the response time. Faults: an outage
 * in which calls fail as not run or are delayed and fail as unknown, and responses lost after the effect.
 */
public final class FakeKeyValueStore {
    /** Counts of calls. */
    public static final class Counts {
        private long reads;
        private long watches;
        private long writes;
        private long deletes;
        private long readBytes;

        /**
         * Returns reads and lists.
         *
         * @return the count
         */
        public long reads() {
            return reads;
        }

        /**
         * Returns watches begun.
         *
         * @return the count
         */
        public long watches() {
            return watches;
        }

        /**
         * Returns writes without deletes.
         *
         * @return the count
         */
        public long writes() {
            return writes;
        }

        /**
         * Returns deletes.
         *
         * @return the count
         */
        public long deletes() {
            return deletes;
        }

        /**
         * Returns bytes of the values sent in responses.
         *
         * @return bytes
         */
        public long readBytes() {
            return readBytes;
        }
    }

    private record Watcher(String key, long knownVersion, MonoSink<Optional<VersionedValue>> sink) {}

    private static final long DELAYED_EFFECT_MILLIS = 3_000;

    private final VirtualScheduler scheduler;
    private final Random random;
    private final NavigableMap<String, VersionedValue> values = new TreeMap<>();
    private final Map<Watcher, Boolean> watchers = new HashMap<>();
    private final Duration half;
    private Counts counts = new Counts();
    private boolean down;
    private double lostShare;

    /**
     * Creates an empty service.
     *
     * @param scheduler the clock
     * @param responseMillis response time in milliseconds
     * @param seed seed of the faults
     */
    public FakeKeyValueStore(VirtualScheduler scheduler, double responseMillis, long seed) {
        this.scheduler = scheduler;
        this.random = new Random(seed);
        this.half = Duration.ofNanos((long) (responseMillis * 500_000));
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown true while the service is down
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Sets how many responses are lost after the effect.
     *
     * @param share share of all calls, from zero to one
     */
    public void setLostShare(double share) {
        lostShare = share;
    }

    /**
     * Returns the counts since the last call and starts new ones.
     *
     * @return the counts
     */
    public Counts takeCounts() {
        Counts taken = counts;
        counts = new Counts();
        return taken;
    }

    /**
     * Returns the number of stored values with a prefix.
     *
     * @param prefix the prefix
     * @return the number
     */
    public int valueCount(String prefix) {
        return values.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /**
     * Returns the service as one client sees it.
     *
     * @param reachable tells whether the client's link to the service works
     * @return the client
     */
    public KeyValueStore client(Supplier<Boolean> reachable) {
        return new Client(reachable);
    }

    private final class Client implements KeyValueStore {
        private final Supplier<Boolean> reachable;

        private Client(Supplier<Boolean> reachable) {
            this.reachable = reachable;
        }

        @Override
        public Mono<Optional<VersionedValue>> get(String key) {
            return call(() -> {
                counts.reads++;
                return sent(Optional.ofNullable(values.get(key)));
            });
        }

        @Override
        public Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value) {
            if (value.length > MAX_VALUE_BYTES) {
                return Mono.error(failure(RunState.NOT_RUN, "value of " + value.length + " bytes is too large"));
            }
            return call(() -> {
                counts.writes++;
                VersionedValue old = values.get(key);
                long version = old == null ? ABSENT : old.version();
                if (version != expectedVersion) {
                    return new CasResult(false, version);
                }
                values.put(key, new VersionedValue(version + 1, value));
                wakeWatchers();
                return new CasResult(true, version + 1);
            });
        }

        @Override
        public Mono<Boolean> delete(String key, long expectedVersion) {
            return call(() -> {
                counts.deletes++;
                VersionedValue old = values.get(key);
                if (old == null || old.version() != expectedVersion) {
                    return false;
                }
                values.remove(key);
                return true;
            });
        }

        @Override
        public Mono<List<String>> list(String prefix, String afterKey, int limit) {
            return call(() -> {
                counts.reads++;
                String from = afterKey.isEmpty() ? prefix : afterKey;
                return values.tailMap(from, afterKey.isEmpty()).keySet().stream()
                        .takeWhile(key -> key.startsWith(prefix))
                        .limit(limit)
                        .toList();
            });
        }

        @Override
        public Mono<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
            Mono<Optional<VersionedValue>> changed = Mono.<Optional<VersionedValue>>create(sink -> {
                counts.watches++;
                Watcher watcher = new Watcher(key, knownVersion, sink);
                watchers.put(watcher, true);
                sink.onDispose(() -> watchers.remove(watcher));
                wakeWatchers();
            });
            Mono<Optional<VersionedValue>> wait = changed.timeout(Duration.ofMillis(waitMillis), scheduler)
                    .onErrorResume(e -> Mono.fromSupplier(() -> sent(Optional.ofNullable(values.get(key)))));
            return guarded(wait);
        }

        @Override
        public Mono<Lease> acquireLease(String name, String holder, long ttlMillis) {
            return Mono.error(new UnsupportedOperationException("leases are not part of this experiment"));
        }

        @Override
        public Mono<Void> releaseLease(String name, long fencingToken) {
            return Mono.error(new UnsupportedOperationException("leases are not part of this experiment"));
        }

        private <T> Mono<T> call(Supplier<T> effect) {
            return guarded(Mono.fromSupplier(effect));
        }

        private <T> Mono<T> guarded(Mono<T> effect) {
            return Mono.delay(half, scheduler).then(Mono.defer(() -> atService(effect)));
        }

        private <T> Mono<T> atService(Mono<T> effect) {
            if (down || !reachable.get()) {
                if (random.nextBoolean()) {
                    return Mono.error(failure(RunState.NOT_RUN, "connection refused"));
                }
                if (random.nextInt(4) == 0) {
                    // The call is delayed and takes effect after its caller has given up.
                    Mono.delay(Duration.ofMillis(DELAYED_EFFECT_MILLIS), scheduler)
                            .then(effect)
                            .subscribe(ignored -> {}, error -> {});
                }
                return Mono.never();
            }
            boolean lost = random.nextDouble() < lostShare;
            return effect.delayElement(half, scheduler)
                    .filter(value -> !lost && !down && reachable.get())
                    .switchIfEmpty(Mono.never());
        }
    }

    private Optional<VersionedValue> sent(Optional<VersionedValue> value) {
        value.ifPresent(present -> counts.readBytes += present.value().length);
        return value;
    }

    private void wakeWatchers() {
        for (Watcher watcher : new ArrayList<>(watchers.keySet())) {
            VersionedValue value = values.get(watcher.key());
            long version = value == null ? KeyValueStore.ABSENT : value.version();
            if (version != watcher.knownVersion()) {
                watchers.remove(watcher);
                watcher.sink().success(sent(Optional.ofNullable(value)));
            }
        }
    }

    private static PeerException failure(RunState runState, String message) {
        return new PeerException(Step.KEY_VALUE, "fake key-value service", runState, message);
    }
}
