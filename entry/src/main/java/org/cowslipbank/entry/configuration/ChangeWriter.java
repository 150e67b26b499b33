package org.cowslipbank.entry.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/** Reads and writes the key-value service on behalf of configuration changes. */
final class ChangeWriter {
    /** Result of a compare-and-swap whose response may be lost. */
    enum SwapResult {
        SWAPPED,
        VERSION_MISMATCH,
        NOT_RUN,
        UNKNOWN
    }

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int CREATE_RETRIES = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final int CONCURRENT_WRITES = 8;
    // Keeps replaced shards for nodes that are still reading the previous revision.
    private static final long DELETE_DELAY_MILLIS = 60_000;
    private static final long FIRST_VERSION = 1;

    private final KeyValueStore store;
    private final KeyValueStore cleanUp;
    private final Scheduler scheduler;

    ChangeWriter(ConfigurationStores stores, Scheduler scheduler) {
        this.store = stores.change();
        this.cleanUp = stores.cleanUp();
        this.scheduler = scheduler;
    }

    Mono<Optional<VersionedValue>> read(String key) {
        return store.get(key).timeout(CALL_TIMEOUT, scheduler).publishOn(scheduler);
    }

    // The key contains the digest and the change identifier, so an existing value is identical and needs no
    // second write.
    Mono<Void> createValues(Map<String, byte[]> values) {
        return Flux.fromIterable(values.entrySet())
                .flatMap(
                        entry -> store.compareAndSwap(entry.getKey(), KeyValueStore.ABSENT, entry.getValue())
                                .timeout(CALL_TIMEOUT, scheduler)
                                .retryWhen(Retry.fixedDelay(CREATE_RETRIES, RETRY_DELAY)
                                        .scheduler(scheduler)),
                        CONCURRENT_WRITES)
                .then()
                .publishOn(scheduler);
    }

    Mono<SwapResult> swap(String key, long version, byte[] value) {
        return store.compareAndSwap(key, version, value)
                .timeout(CALL_TIMEOUT, scheduler)
                .map(CasResult::swapped)
                .map(swapped -> swapped ? SwapResult.SWAPPED : SwapResult.VERSION_MISMATCH)
                .onErrorResume(error -> Mono.just(isNotRun(error) ? SwapResult.NOT_RUN : SwapResult.UNKNOWN))
                .publishOn(scheduler);
    }

    void scheduleDeletion(List<String> keys) {
        scheduler.schedule(
                () -> Flux.fromIterable(keys)
                        .concatMap(key -> cleanUp.delete(key, FIRST_VERSION).onErrorResume(error -> Mono.empty()))
                        .subscribe(),
                DELETE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static boolean isNotRun(Throwable error) {
        return error instanceof CowslipbankException known && known.runState() == RunState.NOT_RUN;
    }
}
