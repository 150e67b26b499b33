package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.cowslipbank.ports.relay.EngineControl;
import reactor.core.publisher.Mono;

/** Fake engines that accept every order, and cache stores without parts. */
final class FakeEngines implements EngineControl {
    final List<VersionCommand> orders = new CopyOnWriteArrayList<>();
    final List<String> reports = new CopyOnWriteArrayList<>();

    @Override
    public Mono<Report> report(String address) {
        reports.add(address);
        return Mono.just(new Report(Map.of("m", orders.isEmpty() ? 1L : 2L), false, orders.size(), 0, 0));
    }

    @Override
    public Mono<CommandOutcome> sendCommand(String address, VersionCommand command) {
        orders.add(command);
        return Mono.just(CommandOutcome.ACCEPTED);
    }

    @Override
    public Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis) {
        return Mono.never();
    }

    @Override
    public Mono<Boolean> free(String address, FreeCall call) {
        return Mono.just(true);
    }
}
