package org.cowslipbank.entry.claims;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.claims.PlatformBudget;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.Lease;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Key-value service whose calls are limited by the process's platform budget. A call waits for a token; if the
 * wait would exceed the maximum, the call fails with run state not run.
 */
public final class BudgetedKeyValueStore implements KeyValueStore {
    /** Read and write budgets of one process, shared by all priorities. */
    public static final class Budgets {
        private final Scheduler scheduler;
        private PlatformBudget reads;
        private PlatformBudget writes;

        /**
         * Creates full budgets.
         *
         * @param scheduler provides the time and the delays
         * @param readsPerSecond reads and watches allowed in any one second
         * @param writesPerSecond writes, deletes and lease calls allowed in any one second
         */
        public Budgets(Scheduler scheduler, double readsPerSecond, double writesPerSecond) {
            this.scheduler = scheduler;
            resize(readsPerSecond, writesPerSecond);
        }

        /**
         * Changes the rates, for example when the fleet's size or the owned partitions change. Both budgets start
         * full again.
         *
         * @param readsPerSecond reads and watches allowed in any one second
         * @param writesPerSecond writes, deletes and lease calls allowed in any one second
         */
        public synchronized void resize(double readsPerSecond, double writesPerSecond) {
            long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
            reads = createBucket(readsPerSecond, nowMillis);
            writes = createBucket(writesPerSecond, nowMillis);
        }

        // Half as refill rate and half as burst, so that a full bucket and one second's refill stay within the limit.
        private static PlatformBudget createBucket(double perSecond, long nowMillis) {
            return new PlatformBudget(perSecond / 2, perSecond / 2, nowMillis);
        }

        private synchronized long tryTake(boolean write, PlatformBudget.Priority priority) {
            return (write ? writes : reads).tryTake(priority, scheduler.now(TimeUnit.MILLISECONDS));
        }
    }

    private static final long MAX_WAIT_MILLIS = 2_000;

    private final KeyValueStore store;
    private final Budgets budgets;
    private final PlatformBudget.Priority priority;

    /**
     * Creates a view of the service whose calls have one priority.
     *
     * @param store the key-value service
     * @param budgets the process's budgets
     * @param priority priority of all calls made through this view
     */
    public BudgetedKeyValueStore(KeyValueStore store, Budgets budgets, PlatformBudget.Priority priority) {
        this.store = store;
        this.budgets = budgets;
        this.priority = priority;
    }

    @Override
    public Mono<Optional<VersionedValue>> get(String key) {
        return awaitToken(false).then(Mono.defer(() -> store.get(key)));
    }

    @Override
    public Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value) {
        return awaitToken(true).then(Mono.defer(() -> store.compareAndSwap(key, expectedVersion, value)));
    }

    @Override
    public Mono<Boolean> delete(String key, long expectedVersion) {
        return awaitToken(true).then(Mono.defer(() -> store.delete(key, expectedVersion)));
    }

    @Override
    public Mono<List<String>> list(String prefix, String afterKey, int limit) {
        return awaitToken(false).then(Mono.defer(() -> store.list(prefix, afterKey, limit)));
    }

    @Override
    public Mono<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return awaitToken(false).then(Mono.defer(() -> store.watch(key, knownVersion, waitMillis)));
    }

    @Override
    public Mono<Lease> acquireLease(String name, String holder, long ttlMillis) {
        return awaitToken(true).then(Mono.defer(() -> store.acquireLease(name, holder, ttlMillis)));
    }

    @Override
    public Mono<Void> releaseLease(String name, long fencingToken) {
        return awaitToken(true).then(Mono.defer(() -> store.releaseLease(name, fencingToken)));
    }

    private Mono<Void> awaitToken(boolean write) {
        return Mono.defer(() -> awaitToken(write, 0));
    }

    private Mono<Void> awaitToken(boolean write, long waitedMillis) {
        long waitMillis = budgets.tryTake(write, priority);
        if (waitMillis == 0) {
            return Mono.empty();
        }
        if (waitedMillis + waitMillis > MAX_WAIT_MILLIS) {
            return Mono.error(new PeerException(
                    ProcessingStep.KEY_VALUE,
                    "key-value service",
                    RunState.NOT_RUN,
                    "platform budget for " + priority + " is used up for the next " + waitMillis + " ms"));
        }
        return Mono.delay(Duration.ofMillis(waitMillis), budgets.scheduler)
                .then(Mono.defer(() -> awaitToken(write, waitedMillis + waitMillis)));
    }
}
