package org.cowslipbank.bench.claims;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.cowslipbank.bench.platform.FakeKeyValueStore;
import org.cowslipbank.bench.platform.PausableScheduler;
import org.cowslipbank.bench.platform.VirtualScheduler;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.ClaimTime;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.entry.claims.ClaimNode;
import org.cowslipbank.entry.claims.ClaimPeers;
import org.cowslipbank.entry.claims.ClaimService;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Simulates nodes with claim services on a virtual clock; the links between them take 1.5 ms one way and can be cut. */
final class ClaimFleet {
    private static final Duration ONE_WAY_LATENCY = Duration.ofNanos(1_500_000);
    // Late enough after the Unix epoch that every retained window has a positive number.
    private static final long START_WALL_MILLIS = 1_000_000_000_000L;

    private final VirtualScheduler scheduler;
    private final FakeKeyValueStore platform;
    private final ClaimSettings settings;
    private final List<ClaimService> services = new ArrayList<>();
    private final int[][] believedOwners;
    private final boolean[] connected;
    private final boolean[] platformReachable;
    private final PausableScheduler[] schedulers;
    private int startCount;

    ClaimFleet(VirtualScheduler scheduler, FakeKeyValueStore platform, ClaimSettings settings, int nodes) {
        this.scheduler = scheduler;
        this.platform = platform;
        this.settings = settings;
        this.believedOwners = new int[nodes][settings.partitions()];
        this.connected = new boolean[nodes];
        this.platformReachable = new boolean[nodes];
        this.schedulers = new PausableScheduler[nodes];
        for (int node = 0; node < nodes; node++) {
            schedulers[node] = new PausableScheduler(scheduler);
            connected[node] = true;
            platformReachable[node] = true;
            for (int partition = 0; partition < settings.partitions(); partition++) {
                believedOwners[node][partition] = partition;
            }
            services.add(start(node));
        }
    }

    ClaimService service(int node) {
        return services.get(node);
    }

    int size() {
        return services.size();
    }

    ClaimTime now() {
        return new ClaimTime(scheduler.nowMillis(), START_WALL_MILLIS + scheduler.nowMillis());
    }

    void setBelievedOwner(int node, int partition, int owner) {
        believedOwners[node][partition] = owner;
    }

    void setConnected(int node, boolean isConnected) {
        connected[node] = isConnected;
    }

    void setPlatformReachable(int node, boolean isReachable) {
        platformReachable[node] = isReachable;
    }

    void setPaused(int node, boolean isPaused) {
        schedulers[node].setPaused(isPaused);
    }

    void restart(int node) {
        services.get(node).close();
        services.set(node, start(node));
    }

    private ClaimService start(int node) {
        startCount++;
        ClaimService service = new ClaimService(
                new ClaimNode(vm(node), "run" + startCount, settings),
                platform.client(() -> platformReachable[node]),
                new ClaimPeers(
                        partition -> ownersAccordingTo(node, partition),
                        (target, request) -> forward(node, target, request),
                        (partition, age) -> highestSequence(node, partition, age)),
                schedulers[node],
                this::now);
        service.start();
        return service;
    }

    private List<VmId> ownersAccordingTo(int node, int partition) {
        int owner = believedOwners[node][partition];
        return List.of(vm(owner), vm((owner + 1) % believedOwners.length));
    }

    private Mono<ClaimOutcome> forward(int from, VmId target, PartitionRequest request) {
        int to = Integer.parseInt(target.value().substring(1));
        return link(from, to)
                .then(Mono.defer(() -> services.get(to).serve(request)))
                .delayElement(ONE_WAY_LATENCY, scheduler);
    }

    private Mono<OptionalLong> highestSequence(int from, int partition, long ageMillis) {
        return Flux.range(0, believedOwners.length)
                .filter(node -> node != from)
                .flatMap(node -> link(from, node)
                        .then(Mono.defer(() -> services.get(node).highestSequence(partition, ageMillis)))
                        .delayElement(ONE_WAY_LATENCY, scheduler))
                .reduce(0L, Math::max)
                .map(OptionalLong::of);
    }

    private Mono<Long> link(int from, int to) {
        return Mono.delay(ONE_WAY_LATENCY, scheduler)
                .filter(zero -> connected[from] && connected[to])
                .switchIfEmpty(Mono.never());
    }

    private static VmId vm(int node) {
        return new VmId("n" + node);
    }
}
