package org.cowslipbank.entry.node;

import java.time.Duration;
import java.util.function.Supplier;

import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamKind;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.UpstreamTable;
import org.cowslipbank.ports.OutsideSystems;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Reads the load reports of engines. */
final class LoadPoller {
    private static final Duration INTERVAL = Duration.ofMillis(250);
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final OutsideSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final UpstreamTable upstreams;
    private Disposable polling;

    LoadPoller(OutsideSystems systems, Supplier<ConfigurationIndex> configuration, UpstreamTable upstreams) {
        this.systems = systems;
        this.configuration = configuration;
        this.upstreams = upstreams;
    }

    /** Polls all engines once and then regularly. Returns when the first reports are in. */
    void start() {
        pollAll().block(TIMEOUT.multipliedBy(2));
        polling = Flux.interval(Duration.ZERO, INTERVAL, Schedulers.newSingle("load-poll", true))
                .onBackpressureDrop()
                .concatMap(tick -> pollAll())
                .subscribe();
    }

    void stop() {
        polling.dispose();
    }

    private Mono<Void> pollAll() {
        return Flux.fromIterable(configuration.get().configuration().upstreams())
                .filter(upstream -> upstream.kind() == UpstreamKind.ENGINE)
                .flatMap(this::poll)
                .then();
    }

    private Mono<Void> poll(Upstream upstream) {
        return systems.engine(upstream.address())
                .load()
                .timeout(TIMEOUT)
                .doOnNext(load -> upstreams.report(upstream.id(), load))
                .doOnError(error -> upstreams.markDown(upstream.id(), System.nanoTime() / 1_000_000))
                .onErrorComplete()
                .then();
    }
}
