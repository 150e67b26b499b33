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
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.Lease;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * In-memory key-value service on a virtual clock. A call takes effect after half the response time. Simulated faults: an
 * outage, in which a call either fails as not run or is never answered and may still take effect late, and responses
 * that are dropped after the call has taken effect.
 */
public final class FakeKeyValueStore {
    /** Counters of calls by kind. */
    public static final class Counts {
        private long reads;
        private long watches;
        private long writes;
        private long deletes;
        private long readBytes;

        /**
         * Returns the number of reads, list calls included.
         *
         * @return the count
         */
        public long reads() {
            return reads;
        }

        /**
         * Returns the number of watches started.
         *
         * @return the count
         */
        public long watches() {
            return watches;
        }

        /**
         * Returns the number of writes, deletes excluded.
         *
         * @return the count
         */
        public long writes() {
            return writes;
        }

        /**
         * Returns the number of deletes.
         *
         * @return the count
         */
        public long deletes() {
            return deletes;
        }

        /**
         * Returns the total size of the values in responses.
         *
         * @return bytes
         */
        public long readBytes() {
            return readBytes;
        }
    }

    private record Watcher(String key, long knownVersion, MonoSink<Optional<VersionedValue>> sink) {}

    private static final long LATE_EFFECT_DELAY_MILLIS = 3_000;

    private final VirtualScheduler scheduler;
    private final Random random;
    private final NavigableMap<String, VersionedValue> values = new TreeMap<>();
    private final Map<Watcher, Boolean> watchers = new HashMap<>();
    private final Duration halfResponseTime;
    private Counts counts = new Counts();
    private boolean down;
    private double lostResponseShare;

    /**
     * Creates an empty service.
     *
     * @param scheduler the scheduler that holds the virtual clock
     * @param responseMillis response time in milliseconds
     * @param seed seed of the random faults
     */
    public FakeKeyValueStore(VirtualScheduler scheduler, double responseMillis, long seed) {
        this.scheduler = scheduler;
        this.random = new Random(seed);
        this.halfResponseTime = Duration.ofNanos((long) (responseMillis * 500_000));
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
     * Sets how many responses are dropped after the call has taken effect.
     *
     * @param share share of all calls, from zero to one
     */
    public void setLostResponseShare(double share) {
        lostResponseShare = share;
    }

    /**
     * Returns the counters since the last call of this method and resets them.
     *
     * @return the counters
     */
    public Counts takeCounts() {
        Counts taken = counts;
        counts = new Counts();
        return taken;
    }

    /**
     * Returns the number of stored values whose key has a prefix.
     *
     * @param prefix the prefix
     * @return the number
     */
    public int countValues(String prefix) {
        return values.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /**
     * Returns a client of the service.
     *
     * @param reachable returns whether the client's link to the service is up
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
                return countReadBytes(Optional.ofNullable(values.get(key)));
            });
        }

        @Override
        public Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value) {
            if (value.length > MAX_VALUE_BYTES) {
                return Mono.error(failure(
                        RunState.NOT_RUN,
                        "value of " + value.length + " bytes exceeds the limit of " + MAX_VALUE_BYTES));
            }
            return call(() -> {
                counts.writes++;
                VersionedValue old = values.get(key);
                long version = old == null ? ABSENT : old.version();
                if (version != expectedVersion) {
                    return new CasResult(false, version);
                }
                values.put(key, new VersionedValue(version + 1, value));
                notifyWatchers();
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
                notifyWatchers();
            });
            Mono<Optional<VersionedValue>> wait = changed.timeout(Duration.ofMillis(waitMillis), scheduler)
                    .onErrorResume(e -> Mono.fromSupplier(() -> countReadBytes(Optional.ofNullable(values.get(key)))));
            return withNetworkDelay(wait);
        }

        @Override
        public Mono<Lease> acquireLease(String name, String holder, long ttlMillis) {
            return Mono.error(new UnsupportedOperationException("FakeKeyValueStore does not support leases"));
        }

        @Override
        public Mono<Void> releaseLease(String name, long fencingToken) {
            return Mono.error(new UnsupportedOperationException("FakeKeyValueStore does not support leases"));
        }

        private <T> Mono<T> call(Supplier<T> effect) {
            return withNetworkDelay(Mono.fromSupplier(effect));
        }

        private <T> Mono<T> withNetworkDelay(Mono<T> effect) {
            return Mono.delay(halfResponseTime, scheduler).then(Mono.defer(() -> applyFaults(effect)));
        }

        private <T> Mono<T> applyFaults(Mono<T> effect) {
            if (down || !reachable.get()) {
                if (random.nextBoolean()) {
                    return Mono.error(failure(RunState.NOT_RUN, "connection refused"));
                }
                if (random.nextInt(4) == 0) {
                    // The call is delayed in the network and takes effect after its caller has timed out.
                    Mono.delay(Duration.ofMillis(LATE_EFFECT_DELAY_MILLIS), scheduler)
                            .then(effect)
                            .subscribe(ignored -> {}, error -> {});
                }
                return Mono.never();
            }
            boolean responseLost = random.nextDouble() < lostResponseShare;
            return effect.delayElement(halfResponseTime, scheduler)
                    .filter(value -> !responseLost && !down && reachable.get())
                    .switchIfEmpty(Mono.never());
        }
    }

    private Optional<VersionedValue> countReadBytes(Optional<VersionedValue> value) {
        value.ifPresent(present -> counts.readBytes += present.value().length);
        return value;
    }

    private void notifyWatchers() {
        for (Watcher watcher : new ArrayList<>(watchers.keySet())) {
            VersionedValue value = values.get(watcher.key());
            long version = value == null ? KeyValueStore.ABSENT : value.version();
            if (version != watcher.knownVersion()) {
                watchers.remove(watcher);
                watcher.sink().success(countReadBytes(Optional.ofNullable(value)));
            }
        }
    }

    private static PeerException failure(RunState runState, String message) {
        return new PeerException(ProcessingStep.KEY_VALUE, "fake key-value service", runState, message);
    }
}
