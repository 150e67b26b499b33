package org.cowslipbank.bench.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import org.cowslipbank.bench.platform.FakeKeyValueStore;
import org.cowslipbank.bench.platform.PausableScheduler;
import org.cowslipbank.bench.platform.VirtualScheduler;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.decision.claims.PlatformBudget.Priority;
import org.cowslipbank.decision.configuration.ChangeMetadata;
import org.cowslipbank.entry.claims.BudgetedKeyValueStore;
import org.cowslipbank.entry.configuration.ChangeOutcome;
import org.cowslipbank.entry.configuration.ChangeRequest;
import org.cowslipbank.entry.configuration.ConfigurationNode;
import org.cowslipbank.entry.configuration.ConfigurationService;
import org.cowslipbank.entry.configuration.ConfigurationStores;
import org.cowslipbank.entry.configuration.RevisionReport;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Simulates nodes with configuration services on a virtual clock. Once a second each node probes a random node of its
 * own data centre and a random node of one other data centre, in rotation. The probes replace the peer module.
 */
public final class ConfigurationFleet {
    /** Reads per second that the platform supports for the whole fleet. */
    static final double PLATFORM_READS_PER_SECOND = 2_000;

    /** Writes per second that the platform supports for the whole fleet. */
    static final double PLATFORM_WRITES_PER_SECOND = 300;

    private static final Duration ONE_WAY_LATENCY = Duration.ofNanos(1_500_000);
    private static final double CHANGE_CALLS_PER_SECOND_AND_NODE = 100;
    private static final long CHANGE_POLL_MILLIS = 200;
    private static final long PROBE_PERIOD_MILLIS = 1_000;

    private final VirtualScheduler scheduler;
    private final FakeKeyValueStore platform;
    private final int dataCentres;
    private final long boundMillis;
    private final Random random;
    private final List<ConfigurationService> services = new ArrayList<>();
    private final List<PausableScheduler> schedulers = new ArrayList<>();
    private final boolean[] alive;
    private final boolean[] platformReachable;
    private IntPredicate[] partitionSide;
    private long startCount;

    /**
     * Creates a fleet and starts it.
     *
     * @param scheduler the scheduler that holds the virtual clock
     * @param platform the key-value service
     * @param nodes number of nodes; node n is in data centre n modulo the number of data centres
     * @param dataCentres number of data centres
     * @param boundMillis staleness bound: longest time in milliseconds that a node may serve without confirmation of its configuration
     * @param seed seed of every random source
     */
    public ConfigurationFleet(
            VirtualScheduler scheduler,
            FakeKeyValueStore platform,
            int nodes,
            int dataCentres,
            long boundMillis,
            long seed) {
        this.scheduler = scheduler;
        this.platform = platform;
        this.dataCentres = dataCentres;
        this.boundMillis = boundMillis;
        this.random = new Random(seed);
        this.alive = new boolean[nodes];
        this.platformReachable = new boolean[nodes];
        for (int node = 0; node < nodes; node++) {
            schedulers.add(new PausableScheduler(scheduler));
            platformReachable[node] = true;
            alive[node] = true;
            services.add(start(node));
            scheduleProbe(node, random.nextInt((int) PROBE_PERIOD_MILLIS), 0);
        }
    }

    /**
     * Returns the configuration service of a node.
     *
     * @param node the node's number
     * @return the service
     */
    public ConfigurationService service(int node) {
        return services.get(node);
    }

    /**
     * Returns the number of nodes.
     *
     * @return the number
     */
    public int size() {
        return services.size();
    }

    /**
     * Kills a node.
     *
     * @param node the node
     */
    public void kill(int node) {
        alive[node] = false;
        services.get(node).close();
    }

    /**
     * Replaces a node by a new process that holds no configuration.
     *
     * @param node the node
     */
    public void restart(int node) {
        services.get(node).close();
        alive[node] = true;
        services.set(node, start(node));
    }

    /**
     * Cuts or restores a node's link to the platform.
     *
     * @param node the node
     * @param isReachable false to cut it
     */
    public void setPlatformReachable(int node, boolean isReachable) {
        platformReachable[node] = isReachable;
    }

    /**
     * Pauses or resumes a node.
     *
     * @param node the node
     * @param isPaused true to pause it
     */
    public void setPaused(int node, boolean isPaused) {
        schedulers.get(node).setPaused(isPaused);
    }

    /**
     * Cuts all links between the two sides of a partition.
     *
     * @param side returns true for the nodes of one side; null restores all links
     */
    public void partition(IntPredicate side) {
        partitionSide = side == null ? null : new IntPredicate[] {side};
    }

    /**
     * Requests a configuration change at a node.
     *
     * @param node the node
     * @param changeId the change's identifier
     * @param ifMatch the revision that the change is based on
     * @param edit the edit to apply
     * @param mayLag data centres that need not confirm the change
     * @return the outcome
     */
    public Mono<ChangeOutcome> change(
            int node, String changeId, long ifMatch, ConfigurationEdit edit, List<String> mayLag) {
        ChangeMetadata metadata =
                new ChangeMetadata(changeId, "operator-" + node, "bench", scheduler.nowMillis(), mayLag);
        return Mono.defer(() -> {
            // As in a real node: while a change runs, one node of each data centre is polled for its revision.
            Disposable polling = schedulers
                    .get(node)
                    .schedulePeriodically(
                            () -> probeAllDataCentres(node), 0, CHANGE_POLL_MILLIS, TimeUnit.MILLISECONDS);
            return services.get(node)
                    .change(new ChangeRequest(metadata, ifMatch, edit))
                    .doFinally(signal -> polling.dispose());
        });
    }

    /**
     * Tells whether every live node has applied a revision or a later one.
     *
     * @param revision the revision
     * @return true if it is in force everywhere
     */
    public boolean isInForceEverywhere(long revision) {
        for (int node = 0; node < services.size(); node++) {
            if (alive[node] && services.get(node).current().revision() < revision) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts the live nodes that accept new requests.
     *
     * @return the number
     */
    public long serving() {
        long serving = 0;
        for (int node = 0; node < services.size(); node++) {
            serving += alive[node] && services.get(node).mayServe(scheduler.nowMillis()) ? 1 : 0;
        }
        return serving;
    }

    private ConfigurationService start(int node) {
        Set<DataCentreId> all = new TreeSet<>();
        for (int i = 0; i < dataCentres; i++) {
            all.add(dataCentre(i));
        }
        BudgetedKeyValueStore.Budgets budgets = new BudgetedKeyValueStore.Budgets(
                schedulers.get(node),
                PLATFORM_READS_PER_SECOND / alive.length,
                PLATFORM_WRITES_PER_SECOND / alive.length);
        BudgetedKeyValueStore.Budgets changes = new BudgetedKeyValueStore.Budgets(
                schedulers.get(node), CHANGE_CALLS_PER_SECOND_AND_NODE, CHANGE_CALLS_PER_SECOND_AND_NODE);
        KeyValueStore client = platform.client(() -> platformReachable[node]);
        ConfigurationService service = new ConfigurationService(
                new ConfigurationNode(vm(node), dataCentre(node), all, boundMillis),
                new ConfigurationStores(
                        new BudgetedKeyValueStore(client, budgets, Priority.CONFIGURATION),
                        new BudgetedKeyValueStore(client, changes, Priority.CONFIGURATION),
                        new BudgetedKeyValueStore(client, changes, Priority.AUDIT)),
                (peer, keys) -> fetch(node, peer, keys),
                schedulers.get(node),
                random.nextLong() + startCount++);
        service.start();
        return service;
    }

    private Mono<Map<String, byte[]>> fetch(int from, VmId peer, List<String> keys) {
        int to = Integer.parseInt(peer.value().substring(1));
        return link(from, to)
                .then(Mono.defer(() -> services.get(to).storedValues(keys)))
                .delayElement(ONE_WAY_LATENCY, scheduler);
    }

    private void scheduleProbe(int node, long delayMillis, int round) {
        schedulers.get(node).schedule(() -> probe(node, round), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void probe(int node, int round) {
        scheduleProbe(node, PROBE_PERIOD_MILLIS, round + 1);
        if (!alive[node]) {
            return;
        }
        probePeer(node, randomPeerInSameDataCentre(node));
        if (dataCentres > 1) {
            probePeer(node, randomNode((node + 1 + round % (dataCentres - 1)) % dataCentres));
        }
    }

    private void probeAllDataCentres(int node) {
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            probePeer(
                    node, dataCentre == node % dataCentres ? randomPeerInSameDataCentre(node) : randomNode(dataCentre));
        }
    }

    private int randomPeerInSameDataCentre(int node) {
        int nodesPerDataCentre = (alive.length + dataCentres - 1) / dataCentres;
        int step = 1 + random.nextInt(Math.max(1, nodesPerDataCentre - 1));
        return (node / dataCentres + step) % nodesPerDataCentre * dataCentres + node % dataCentres;
    }

    private int randomNode(int dataCentre) {
        return random.nextInt((alive.length + dataCentres - 1) / dataCentres) * dataCentres + dataCentre;
    }

    private void probePeer(int from, int to) {
        if (to == from || to >= alive.length || !alive[to]) {
            return;
        }
        ConfigurationService asker = services.get(from);
        long askedMillis = scheduler.nowMillis();
        RevisionReport own = asker.report();
        link(from, to)
                .then(Mono.fromCallable(() -> {
                            services.get(to).recordUnsolicitedReport(own);
                            return services.get(to).report();
                        })
                        .subscribeOn(schedulers.get(to)))
                .delayElement(ONE_WAY_LATENCY, scheduler)
                .subscribe(report -> asker.recordProbeReply(report, askedMillis));
    }

    private Mono<Long> link(int from, int to) {
        return Mono.delay(ONE_WAY_LATENCY, scheduler)
                .filter(zero -> alive[from]
                        && alive[to]
                        && (partitionSide == null || partitionSide[0].test(from) == partitionSide[0].test(to)))
                .switchIfEmpty(Mono.never());
    }

    private DataCentreId dataCentre(int node) {
        return new DataCentreId("dc" + node % dataCentres);
    }

    private static VmId vm(int node) {
        return new VmId("n" + node);
    }
}
