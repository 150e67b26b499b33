package org.cowslipbank.entry.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.cowslipbank.decision.configuration.ConfigurationRoot;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Fetches missing shards from the platform and from peers. Up to {@link #MAX_SHARDS_PLATFORM_FIRST} shards, as after a
 * change, are read from the platform first. More are fetched from peers first, so that many nodes restarting at once
 * stay within the platform's rate. Shards that the first source lacks are fetched from the other.
 */
final class ShardSource {
    /** Largest number of missing shards for which the platform is read before the peers. */
    static final int MAX_SHARDS_PLATFORM_FIRST = 2;

    private static final int PLATFORM_READS_PER_ATTEMPT = 16;
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

    /** Returns the values found, by key; shards that no source returned are absent. */
    Mono<Map<String, byte[]>> fetch(
            List<ConfigurationRoot.ShardRef> missing, List<VmId> peers, boolean platformFailing) {
        List<String> keys = new ArrayList<>(
                missing.stream().map(ConfigurationRoot.ShardRef::key).distinct().toList());
        // Random order: nodes starting together read different shards and fetch the remaining ones from each other.
        Collections.shuffle(keys, random);
        Map<String, byte[]> found = new HashMap<>();
        Mono<Void> fromPlatform = Mono.defer(() -> readFromPlatform(stillMissing(keys, found), found));
        Mono<Void> fromPeers = Mono.defer(() -> fetchFromPeers(keys, choosePeers(peers), found));
        boolean platformFirst = keys.size() <= MAX_SHARDS_PLATFORM_FIRST && !platformFailing;
        Mono<Void> both = platformFirst ? fromPlatform.then(fromPeers) : fromPeers.then(fromPlatform);
        return both.thenReturn(found);
    }

    private Mono<Void> readFromPlatform(List<String> keys, Map<String, byte[]> found) {
        return Flux.fromIterable(keys)
                .take(PLATFORM_READS_PER_ATTEMPT)
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

    private Mono<Void> fetchFromPeers(List<String> keys, List<VmId> peers, Map<String, byte[]> found) {
        return Flux.fromIterable(peers)
                .concatMap(peer -> Mono.defer(() -> fetchFromPeer(peer, stillMissing(keys, found), found)))
                .then();
    }

    private Mono<Void> fetchFromPeer(VmId peer, List<String> keys, Map<String, byte[]> found) {
        return Flux.fromIterable(keys)
                .buffer(KEYS_PER_FETCH)
                .concatMap(part -> fetcher.fetch(peer, part).timeout(PEER_TIMEOUT, scheduler))
                .publishOn(scheduler)
                .doOnNext(found::putAll)
                .onErrorResume(error -> Mono.empty())
                .then();
    }

    private List<VmId> choosePeers(List<VmId> peers) {
        List<VmId> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, Math.min(PEERS_ASKED, shuffled.size()));
    }

    private static List<String> stillMissing(List<String> keys, Map<String, byte[]> found) {
        return keys.stream().filter(key -> !found.containsKey(key)).toList();
    }
}
