package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.cowslipbank.config.StoreVm;
import org.cowslipbank.decision.directory.StorePlacement;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.ports.ExternalSystems;
import reactor.core.publisher.Mono;

/** Finds the blocks of a prompt at the store that is responsible for them. */
final class BlockLocator {
    // A live store answers within a few milliseconds; a longer wait would only delay the first token.
    private static final Duration FIND_TIMEOUT = Duration.ofMillis(150);

    private final ExternalSystems systems;
    private final StoreTable stores;
    private final Supplier<ConfigurationIndex> configuration;
    private final MonotonicClock clock;

    BlockLocator(
            ExternalSystems systems,
            StoreTable stores,
            Supplier<ConfigurationIndex> configuration,
            MonotonicClock clock) {
        this.systems = systems;
        this.stores = stores;
        this.configuration = configuration;
        this.clock = clock;
    }

    /** Returns the committed blocks of a prompt; empty if no store is up, or if the store fails or times out. */
    Mono<List<BlockRef>> find(List<BlockIdentity> chain) {
        Optional<StoreVm> responsible = storeFor(chain);
        if (responsible.isEmpty()) {
            return Mono.just(List.of());
        }
        StoreVm store = responsible.get();
        List<BlockKey> keys = chain.stream().map(BlockIdentity::key).toList();
        return systems.store(store.address()).find(keys).timeout(FIND_TIMEOUT).onErrorResume(error -> {
            stores.recordTimeout(store, 1, FIND_TIMEOUT.toMillis(), clock.nowMillis());
            return Mono.just(List.of());
        });
    }

    /** Returns the highest-ranked store for a chain among those whose link is up; empty if there is none. */
    Optional<StoreVm> storeFor(List<BlockIdentity> chain) {
        if (chain.isEmpty()) {
            return Optional.empty();
        }
        ConfigurationIndex index = configuration.get();
        List<StoreId> ids =
                index.configuration().stores().stream().map(StoreVm::id).toList();
        long nowMillis = clock.nowMillis();
        return StorePlacement.rank(chain.get(0).key(), ids).stream()
                .flatMap(id -> index.store(id).stream())
                .filter(store -> stores.state(store, nowMillis) == LinkState.UP)
                .findFirst();
    }
}
