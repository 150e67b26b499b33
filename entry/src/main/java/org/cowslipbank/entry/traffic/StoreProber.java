package org.cowslipbank.entry.traffic;

import java.time.Duration;

import org.cowslipbank.config.StoreVm;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Probes stores whose links are down or estimated slow, so that no prompt is the one that tries a dead store. */
final class StoreProber {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final TrafficContext context;
    private Disposable probing = () -> {};

    StoreProber(TrafficContext context) {
        this.context = context;
    }

    void start() {
        probing = Flux.interval(PERIOD, Schedulers.parallel())
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
        probing.dispose();
    }

    private Mono<Void> probe(StoreVm store) {
        return context.systems()
                .store(store.address())
                .status()
                .timeout(TIMEOUT)
                .doOnNext(status ->
                        context.stores().answeredProbe(store, context.clock().nowMillis()))
                .doOnError(error -> context.stores()
                        .timedOut(store, 1, TIMEOUT.toMillis(), context.clock().nowMillis()))
                .onErrorComplete()
                .then();
    }
}
