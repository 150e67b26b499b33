package org.cowslipbank.entry.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.cowslipbank.decision.configuration.RootValue;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Gets missing shards. A few are read from the platform, as after a change; many are asked of peers first, so that a
 * restart storm stays within the platform's rate. Whatever one source lacks is asked of the other.
 */
final class ShardSource {
    /** Number of shards up to which the platform is asked first. */
    static final int FEW_SHARDS = 2;

    private static final int PLATFORM_READS_PER_TRY = 16;
    private static final int KEYS_PER_FETCH = 16;
    private static final int PEERS_ASKED = 3;
    private static final int CONCURRENT_READS = 8;
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

    private final KeyValueStore store;
    private final ValueFetcher fetcher;
    private final Scheduler scheduler;
    private final Random random;

    ShardSource(KeyValueStore store, ValueFetcher fetcher, Scheduler scheduler, Random random) {
        this.store = store;
        this.fetcher = fetcher;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Returns the values found, by key; what could not be found is missing. */
    Mono<Map<String, byte[]>> get(List<RootValue.ShardRef> missing, List<VmId> peers, boolean platformFails) {
        List<String> keys = new ArrayList<>(
                missing.stream().map(RootValue.ShardRef::key).distinct().toList());
        // Starting nodes read different shards first and then get the others from each other.
        Collections.shuffle(keys, random);
        Map<String, byte[]> found = new HashMap<>();
        Mono<Void> platform = Mono.defer(() -> fromPlatform(rest(keys, found), found));
        Mono<Void> others = Mono.defer(() -> fromPeers(keys, choose(peers), found));
        boolean platformFirst = keys.size() <= FEW_SHARDS && !platformFails;
        Mono<Void> both = platformFirst ? platform.then(others) : others.then(platform);
        return both.thenReturn(found);
    }

    private Mono<Void> fromPlatform(List<String> keys, Map<String, byte[]> found) {
        return Flux.fromIterable(keys)
                .take(PLATFORM_READS_PER_TRY)
                .flatMap(key -> read(key, found), CONCURRENT_READS)
                .then();
    }

    private Mono<Void> read(String key, Map<String, byte[]> found) {
        return store.get(key)
                .timeout(PLATFORM_TIMEOUT, scheduler)
                .onErrorResume(error -> Mono.empty())
                .publishOn(scheduler)
                .doOnNext(value -> value.map(VersionedValue::value).ifPresent(bytes -> found.put(key, bytes)))
                .then();
    }

    private Mono<Void> fromPeers(List<String> keys, List<VmId> peers, Map<String, byte[]> found) {
        return Flux.fromIterable(peers)
                .concatMap(peer -> Mono.defer(() -> fromPeer(peer, rest(keys, found), found)))
                .then();
    }

    private Mono<Void> fromPeer(VmId peer, List<String> keys, Map<String, byte[]> found) {
        return Flux.fromIterable(keys)
                .buffer(KEYS_PER_FETCH)
                .concatMap(part -> fetcher.fetch(peer, part).timeout(PEER_TIMEOUT, scheduler))
                .publishOn(scheduler)
                .doOnNext(found::putAll)
                .onErrorResume(error -> Mono.empty())
                .then();
    }

    private List<VmId> choose(List<VmId> peers) {
        List<VmId> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(PEERS_ASKED, shuffled.size()));
    }

    private static List<String> rest(List<String> keys, Map<String, byte[]> found) {
        return keys.stream().filter(key -> !found.containsKey(key)).toList();
    }
}
