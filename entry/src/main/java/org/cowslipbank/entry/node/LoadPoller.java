package org.cowslipbank.entry.node;

import java.time.Duration;
import java.util.function.Supplier;

import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamKind;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.UpstreamTable;
import org.cowslipbank.ports.ExternalSystems;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Polls the load reports of all configured engines and marks an engine that does not answer as down. */
final class LoadPoller {
    private static final Duration POLL_PERIOD = Duration.ofMillis(250);
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(800);

    private final ExternalSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final UpstreamTable upstreams;
    private Disposable polling;

    LoadPoller(ExternalSystems systems, Supplier<ConfigurationIndex> configuration, UpstreamTable upstreams) {
        this.systems = systems;
        this.configuration = configuration;
        this.upstreams = upstreams;
    }

    /** Polls all engines once, then periodically. Returns when the first poll has ended. */
    void start() {
        pollAll().block(POLL_TIMEOUT.multipliedBy(2));
        polling = Flux.interval(Duration.ZERO, POLL_PERIOD, Schedulers.newSingle("load-poll", true))
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
                .timeout(POLL_TIMEOUT)
                .doOnNext(load -> upstreams.recordLoadReport(upstream.id(), load))
                .doOnError(error -> upstreams.markDown(upstream.id(), System.nanoTime() / 1_000_000))
                .onErrorComplete()
                .then();
    }
}
