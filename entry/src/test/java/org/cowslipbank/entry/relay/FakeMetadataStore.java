package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/** An in-memory metadata store with fault injection. Leases never expire by themselves. */
final class FakeMetadataStore implements MetadataStore {
    private static final Duration POLL = Duration.ofMillis(5);

    /** Limit that the client of a store has on the time without an answer. */
    private static final Duration UNANSWERED = Duration.ofMillis(900);

    /** Wait from which a watch is held; shorter ones ask for the present state. */
    private static final long HELD_WAIT_MILLIS = 100;

    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final List<StoreItem> history = new ArrayList<>();
    private final Map<String, Long> removedNanos = new HashMap<>();
    private long revision = 1;
    private long leases;
    private final AtomicLong watches = new AtomicLong();
    private volatile boolean down;
    private volatile boolean historyLost;
    private volatile boolean silent;
    private volatile boolean watchesHeld;
    private volatile boolean readOnly;
    private volatile Duration writeDelay = Duration.ZERO;

    /** Returns a store that holds what this one holds now, and which calls that are in progress here do not reach. */
    synchronized FakeMetadataStore copy() {
        FakeMetadataStore copy = new FakeMetadataStore();
        copy.items.putAll(items);
        copy.history.addAll(history);
        copy.revision = revision;
        copy.leases = leases;
        return copy;
    }

    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private void put(String key, byte[] value, long lease) {
        revision++;
        StoreItem known = items.get(key);
        long created = known == null ? revision : known.createRevision();
        StoreItem item = new StoreItem(key, value, revision, created, lease);
        items.put(key, item);
        history.add(item);
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        removedNanos.put(key, System.nanoTime());
        history.add(new StoreItem(key, null, revision, 0, 0));
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** Leaves all calls without an answer, as behind a partition; they fail after a while. */
    void setSilent(boolean isSilent) {
        silent = isSilent;
    }

    /** Leaves watches that wait for changes without an answer; other calls are answered. */
    void holdWatches(boolean areHeld) {
        watchesHeld = areHeld;
    }

    /** Rejects what nodes write; reads and leases are not affected. */
    void setReadOnly(boolean isReadOnly) {
        readOnly = isReadOnly;
    }

    /** Carries writes out after a while. */
    void delayWrites(long millis) {
        writeDelay = Duration.ofMillis(millis);
    }

    /** Makes the next watch report that the changes since its revision are no longer known. */
    void loseHistory() {
        historyLost = true;
    }

    long watches() {
        return watches.get();
    }

    synchronized long revision() {
        return revision;
    }

    synchronized List<String> keys() {
        return List.copyOf(items.keySet());
    }

    /** Returns when a key was last removed, by {@link System#nanoTime}. */
    synchronized long removedNanos(String key) {
        return removedNanos.get(key);
    }

    synchronized Optional<StoreItem> item(String key) {
        return Optional.ofNullable(items.get(key));
    }

    private <T> Mono<T> writeCall(java.util.function.Supplier<T> answer) {
        Duration delay = writeDelay;
        return delay.isZero() ? writeNow(answer) : writeNow(answer).delaySubscription(delay);
    }

    private <T> Mono<T> writeNow(java.util.function.Supplier<T> answer) {
        return Mono.defer(() -> readOnly
                ? Mono.error(new PeerException(
                        ProcessingStep.KEY_VALUE, "store", RunState.NOT_RUN, "store is set read-only by the test"))
                : call(answer));
    }

    private <T> Mono<T> call(java.util.function.Supplier<T> answer) {
        return Mono.defer(() -> {
            if (silent) {
                return Mono.<T>never().timeout(UNANSWERED);
            }
            if (down) {
                return Mono.error(new PeerException(
                        ProcessingStep.KEY_VALUE, "store", RunState.NOT_RUN, "store is set down by the test"));
            }
            synchronized (this) {
                return Mono.just(answer.get());
            }
        });
    }

    @Override
    public Mono<Range> range(String prefix) {
        return call(() -> new Range(List.copyOf(items.tailMap(prefix).values()), revision, 0));
    }

    @Override
    public Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis, long maxBytes) {
        watches.incrementAndGet();
        return call(() -> changes(afterRevision))
                .repeatWhen(again -> again.delayElements(POLL))
                .filter(found -> found.isEmpty() || !found.get().items().isEmpty())
                .filter(found -> !watchesHeld)
                .next()
                .timeout(
                        Duration.ofMillis(waitMillis),
                        Mono.defer(() -> watchesHeld && waitMillis >= HELD_WAIT_MILLIS
                                ? Mono.<Optional<Changes>>never().timeout(UNANSWERED)
                                : call(() -> changes(afterRevision))));
    }

    private Optional<Changes> changes(long afterRevision) {
        if (historyLost) {
            historyLost = false;
            return Optional.empty();
        }
        List<StoreItem> after =
                history.stream().filter(item -> item.revision() > afterRevision).toList();
        return Optional.of(new Changes(after, revision));
    }

    @Override
    public Mono<Optional<Long>> writeIf(Write write, Map<String, Long> expectedRevisions) {
        return writeCall(() -> {
            boolean asExpected = expectedRevisions.entrySet().stream()
                    .allMatch(expected -> expected.getValue() == revisionOf(expected.getKey()));
            if (!asExpected) {
                return Optional.<Long>empty();
            }
            put(write.key(), write.value(), write.lease());
            return Optional.of(revision);
        });
    }

    @Override
    public Mono<Boolean> removeIf(String key, long expectedRevision) {
        return writeCall(() -> {
            boolean asExpected = revisionOf(key) == expectedRevision;
            if (asExpected) {
                remove(key);
            }
            return asExpected;
        });
    }

    private long revisionOf(String key) {
        return items.containsKey(key) ? items.get(key).revision() : ABSENT;
    }

    @Override
    public Mono<Optional<Long>> write(Write write) {
        return writeCall(() -> {
            put(write.key(), write.value(), write.lease());
            return Optional.of(revision);
        });
    }

    @Override
    public Mono<Lease> grantLease(long ttlMillis) {
        return call(() -> new Lease(++leases, ttlMillis));
    }

    @Override
    public Mono<Optional<Long>> renewLease(long lease) {
        return call(() -> lease <= leases ? Optional.of(2_200L) : Optional.<Long>empty());
    }

    @Override
    public Mono<Void> endLease(long lease) {
        return call(() -> {
                    items.values().stream()
                            .filter(item -> item.lease() == lease)
                            .map(StoreItem::key)
                            .toList()
                            .forEach(this::remove);
                    return lease;
                })
                .then();
    }
}
