package org.cowslipbank.entry.claims;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.claims.PlatformBudget;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.Lease;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Key-value service behind the process's platform budget. A call waits for a token; one that would wait too long fails
 * as not run.
 */
public final class BudgetedKeyValueStore implements KeyValueStore {
    /** Budgets of one process, shared by its priorities. */
    public static final class Budgets {
        private final Scheduler scheduler;
        private PlatformBudget reads;
        private PlatformBudget writes;

        /**
         * Creates budgets.
         *
         * @param scheduler gives time and delays
         * @param readsPerSecond reads and watches allowed in any one second
         * @param writesPerSecond writes, deletes and lease calls allowed in any one second
         */
        public Budgets(Scheduler scheduler, double readsPerSecond, double writesPerSecond) {
            this.scheduler = scheduler;
            resize(readsPerSecond, writesPerSecond);
        }

        /**
         * Changes the rates, such as when the fleet's size or the owned partitions change.
         *
         * @param readsPerSecond reads and watches allowed in any one second
         * @param writesPerSecond writes, deletes and lease calls allowed in any one second
         */
        public synchronized void resize(double readsPerSecond, double writesPerSecond) {
            long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
            reads = bucket(readsPerSecond, nowMillis);
            writes = bucket(writesPerSecond, nowMillis);
        }

        // Half as rate and half as burst, so that a full bucket and its refill stay within the sum.
        private static PlatformBudget bucket(double perSecond, long nowMillis) {
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
     * Creates a view of the service for one priority.
     *
     * @param store the service
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
        return take(false).then(Mono.defer(() -> store.get(key)));
    }

    @Override
    public Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value) {
        return take(true).then(Mono.defer(() -> store.compareAndSwap(key, expectedVersion, value)));
    }

    @Override
    public Mono<Boolean> delete(String key, long expectedVersion) {
        return take(true).then(Mono.defer(() -> store.delete(key, expectedVersion)));
    }

    @Override
    public Mono<List<String>> list(String prefix, String afterKey, int limit) {
        return take(false).then(Mono.defer(() -> store.list(prefix, afterKey, limit)));
    }

    @Override
    public Mono<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return take(false).then(Mono.defer(() -> store.watch(key, knownVersion, waitMillis)));
    }

    @Override
    public Mono<Lease> acquireLease(String name, String holder, long ttlMillis) {
        return take(true).then(Mono.defer(() -> store.acquireLease(name, holder, ttlMillis)));
    }

    @Override
    public Mono<Void> releaseLease(String name, long fencingToken) {
        return take(true).then(Mono.defer(() -> store.releaseLease(name, fencingToken)));
    }

    private Mono<Void> take(boolean write) {
        return Mono.defer(() -> take(write, 0));
    }

    private Mono<Void> take(boolean write, long waitedMillis) {
        long waitMillis = budgets.tryTake(write, priority);
        if (waitMillis == 0) {
            return Mono.empty();
        }
        if (waitedMillis + waitMillis > MAX_WAIT_MILLIS) {
            return Mono.error(new PeerException(
                    Step.KEY_VALUE,
                    "key-value service",
                    RunState.NOT_RUN,
                    "platform budget for " + priority + " is used up for the next " + waitMillis + " ms"));
        }
        return Mono.delay(Duration.ofMillis(waitMillis), budgets.scheduler)
                .then(Mono.defer(() -> take(write, waitedMillis + waitMillis)));
    }
}
