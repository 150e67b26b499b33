package org.cowslipbank.entry.traffic;

import java.time.Duration;

import org.cowslipbank.config.StoreVm;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Probes stores whose links are down or estimated slow, so that no prompt has to test a dead store. */
final class StoreProber {
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

    private final TrafficContext context;
    private Disposable probeSubscription = () -> {};

    StoreProber(TrafficContext context) {
        this.context = context;
    }

    void start() {
        probeSubscription = Flux.interval(PROBE_PERIOD, Schedulers.parallel())
                .onBackpressureDrop()
                .concatMap(tick -> Flux.fromIterable(
                                context.configuration().get().configuration().stores())
                        .filter(store -> context.stores()
                                .needsProbe(store, context.clock().nowMillis()))
                        .flatMap(this::probe)
                        .then())
                .subscribe();
    }

    void stop() {
        probeSubscription.dispose();
    }

    private Mono<Void> probe(StoreVm store) {
        return context.systems()
                .store(store.address())
                .status()
                .timeout(PROBE_TIMEOUT)
                .doOnNext(status -> context.stores()
                        .recordProbeAnswer(store, context.clock().nowMillis()))
                .doOnError(error -> context.stores()
                        .recordTimeout(
                                store,
                                1,
                                PROBE_TIMEOUT.toMillis(),
                                context.clock().nowMillis()))
                .onErrorComplete()
                .then();
    }
}
