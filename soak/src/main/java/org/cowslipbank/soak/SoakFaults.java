package org.cowslipbank.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStore;

/** Draws faults and changes from the seed, and begins and ends them. */
final class SoakFaults {
    static final int MIN_GAP_MILLIS = 150;
    static final int MAX_GAP_MILLIS = 1_800;
    static final int MAX_FAULT_MILLIS = 4_000;
    private static final int LARGE_CONFIGURATION_ROUTES = 800;

    /** Shortest silence of a sound upstream, from the platform's pages, and the range up to the longest. */
    private static final int SILENCE_MILLIS = 1_000;

    private static final int SILENCE_RANGE_MILLIS = 300;

    /** Range of the pause between two names of weight versions in quick succession. */
    private static final int MAX_NAME_PAUSE_MILLIS = 2_500;

    private static final int SHORT_TIMEOUT_MILLIS = 3_000;

    /** Shortest time for which a cache store is away; one that is back sooner than nodes notice is the hard case. */
    private static final int MIN_STORE_RESTART_MILLIS = 300;

    private static final int STORE_RESTART_RANGE_MILLIS = 4_200;

    /** Time for which the metadata store or the leading node is away. */
    private static final int MIN_AWAY_MILLIS = 2_000;

    private static final int MAX_AWAY_MILLIS = 9_000;

    /** How long a team stays isolated, so that parts are made under the changed group. */
    private static final int MIN_ISOLATED_MILLIS = 1_500;

    private static final int MAX_ISOLATED_MILLIS = 5_000;

    /** How long it is not isolated: shortly, or about as long as the parts of its group stay. */
    private static final int MIN_SHARED_MILLIS = 300;

    private static final int MAX_SHORTLY_SHARED_MILLIS = 3_000;
    private static final int MIN_LONG_SHARED_MILLIS = 5_000;
    private static final int MAX_SHARED_MILLIS = 12_000;

    /** Pause between two evacuations. */
    private static final int MIN_EVACUATION_PAUSE_MILLIS = 500;

    private static final int MAX_EVACUATION_PAUSE_MILLIS = 2_500;

    /** How long a data centre is evacuated: shortly, or longer than the bound after which no request may reach it. */
    private static final int MAX_SHORT_EVACUATION_MILLIS = 3_000;

    private static final int MIN_EVACUATION_MILLIS = 8_000;
    private static final int MAX_EVACUATION_MILLIS = 14_000;

    /**
     * Time after the last fault until which a data centre may be evacuated. All nodes are in touch in most of it, and it ends before
     * the time for recovery begins.
     */
    private static final int MAX_EVACUATION_REST_MILLIS = 12_000;

    /** Time within which the registrations of upstreams are back after the metadata store's return. */
    private static final int MAX_REREGISTRATION_MILLIS = 1_900;

    /** Faults while nodes start after a power loss and carry streams again; many nodes take longer. */
    private static final int FAULTS_WHILE_A_NODE_STARTS = 4;

    private static final int NODES_PER_FURTHER_FAULT = 3;

    /** Time from a power loss to the start of the nodes. */
    private static final int MIN_DOWN_MILLIS = 500;

    private static final int MAX_DOWN_MILLIS = 2_500;

    /** Time from one power loss to the next, so that nodes have just started, or are about to. */
    private static final int MIN_SECOND_LOSS_MILLIS = 2_000;

    private static final int MAX_SECOND_LOSS_MILLIS = 6_500;

    /** Pause between two changes of the routes. */
    private static final int MIN_CHANGE_GAP_MILLIS = 200;

    private static final int MAX_CHANGE_GAP_MILLIS = 1_200;

    /** Delay of a slow metadata store, from the platform's pages. */
    private static final long SLOW_STORE_MILLIS = 240;

    /** A large configuration takes about 0.4 s for each node that reads it. */
    private static final long THIN_LINK_BYTES_PER_SECOND = 500_000;

    /** Longest time between a release and a power loss; no node has written a report of it then. */
    private static final int MAX_RELEASE_MILLIS = 250;

    /** Time from the replacement of one engine to that of the next, so that two versions serve for about ten seconds. */
    private static final int MIN_TURN_MILLIS = 1_500;

    private static final int MAX_TURN_MILLIS = 3_000;

    /** Longest time from the begin of a fault to the moves beside it; it is shorter than long prompts take. */
    private static final int MAX_MOVE_MILLIS = 1_000;

    /** Longest time from the moves to the resets of streams; most of those that moved have begun then. */
    private static final int MAX_BREAK_MILLIS = 3_000;

    /** Resets of one stream of each engine beside a fault. */
    private static final int RESETS = 4;

    private static final int RESET_INTERVAL_MILLIS = 500;

    private final SoakRun.Plan plan;
    private final SoakPlatform platform;
    private final SoakNodes nodes;
    private final GuaranteeChecker guarantees;
    private final ScheduledExecutorService timer;
    private final Random random;
    /** For the series of isolations, which goes on beside the faults. */
    private final Random seriesRandom;
    /** For the series of evacuations, so that the faults of a seed do not depend on it. */
    private final Random evacuationRandom;

    private final Consumer<String> progress;
    private final List<String> faults = new ArrayList<>();
    private final long endMillis;
    private final int faultsWhileNodesStart;
    private int faultsSincePowerLoss;
    private boolean released;

    /** A fault: its name, its longest duration, and the actions that begin and end it. */
    private record Fault(String name, int maxMillis, Action begin, Action end) {
        Fault(String name, Action begin, Action end) {
            this(name, MAX_FAULT_MILLIS, begin, end);
        }
    }

    /** Begins or ends a fault. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    SoakFaults(
            SoakRun.Plan plan,
            SoakPlatform platform,
            SoakNodes nodes,
            GuaranteeChecker guarantees,
            ScheduledExecutorService timer,
            Random random,
            Consumer<String> progress) {
        this.plan = plan;
        this.platform = platform;
        this.nodes = nodes;
        this.guarantees = guarantees;
        this.timer = timer;
        this.random = random;
        this.seriesRandom = new Random(plan.seed() * 17 + 3);
        this.evacuationRandom = new Random(plan.seed() * 13 + 7);
        this.progress = progress;
        this.faultsWhileNodesStart = FAULTS_WHILE_A_NODE_STARTS + plan.nodes() / NODES_PER_FURTHER_FAULT;
        this.endMillis = System.currentTimeMillis() + plan.seconds() * 1_000;
    }

    /** Injects faults until the time for them is over. */
    void inject() throws IOException, InterruptedException {
        if (plan.kind() == SoakRun.Kind.CHANGES) {
            timer.schedule(this::changeRoutes, MIN_CHANGE_GAP_MILLIS, TimeUnit.MILLISECONDS);
        } else if (plan.kind() == SoakRun.Kind.RELEASES) {
            timer.schedule(this::releaseNext, MIN_TURN_MILLIS, TimeUnit.MILLISECONDS);
        } else if (plan.kind() != SoakRun.Kind.STREAMS) {
            timer.schedule(this::changeIsolation, MIN_ISOLATED_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (plan.kind() == SoakRun.Kind.FAULTS) {
            scheduleEvacuation();
        }
        // Nodes that are out of step are worth little if all of them are.
        int maxGapMillis = plan.kind() == SoakRun.Kind.RELEASES ? 2 * MAX_GAP_MILLIS : MAX_GAP_MILLIS;
        while (System.currentTimeMillis() < endMillis) {
            Thread.sleep(between(random, MIN_GAP_MILLIS, maxGapMillis));
            begin(drawFault(), random);
            nodes.restartExited();
        }
    }

    synchronized List<String> names() {
        return List.copyOf(faults);
    }

    private static int between(Random random, int least, int most) {
        return least + random.nextInt(most - least);
    }

    private void begin(Fault fault, Random draw) {
        int leastMillis = fault.maxMillis() == MAX_AWAY_MILLIS ? MIN_AWAY_MILLIS : MIN_GAP_MILLIS;
        // All faults end soon after the time for them, so that the test has its stated length.
        long leftMillis = Math.max(MIN_GAP_MILLIS, endMillis + MAX_FAULT_MILLIS - System.currentTimeMillis());
        long millis = Math.min(leftMillis, between(draw, leastMillis, fault.maxMillis() + MIN_GAP_MILLIS));
        record(fault.name() + " for " + millis + " ms");
        run(fault.begin(), fault.name());
        timer.schedule(() -> run(fault.end(), fault.name()), millis, TimeUnit.MILLISECONDS);
    }

    private synchronized void record(String name) {
        String line = System.currentTimeMillis() + " " + name;
        faults.add(line);
        progress.accept(line);
    }

    private void run(Action action, String name) {
        guarantees.onFault();
        try {
            action.run();
        } catch (IOException e) {
            guarantees.check(false, "soak test could not begin or end the fault " + name + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Fault drawFault() {
        return switch (plan.kind()) {
            case FAULTS -> drawAnyFault();
            case CALM -> drawCalmChange();
            case CACHE -> drawCacheFault();
            case STREAMS -> drawStreamFault();
            case RELEASES -> drawReleaseFault();
            case CHANGES -> drawChangeFault();
        };
    }

    private Fault drawAnyFault() {
        int index = random.nextInt(nodes.count());
        NodeProcess node = nodes.node(index);
        SoakPlatform.Upstream upstream =
                platform.upstreams().get(random.nextInt(platform.upstreams().size()));
        String at = " " + node.name();
        return switch (random.nextInt(18)) {
            case 0, 1 -> pause(node);
            case 2, 3 -> termination(node, "KILL");
            case 4, 5 -> termination(node, "TERM");
            case 6 -> new Fault("reload" + at, () -> node.signal("HUP"), () -> {});
            case 7 -> proxyFault("connection to the metadata store" + at, nodes.toMetadataStore(index));
            case 8 -> proxyFault("connection to " + upstream.id(), upstream.proxy());
            case 9 -> metadataStoreFault();
            case 10 -> new Fault("compaction", platform.metadataStore()::compact, () -> {});
            case 11 -> new Fault("key rotation of a team", platform::rotateKey, () -> {});
            case 12 -> change("routes", StandInFormats.Variant.withIdleRoutes(LARGE_CONFIGURATION_ROUTES));
            case 13 -> new Fault("version", platform::changeWeightVersion, () -> {});
            case 14 -> new Fault("restart of " + upstream.id(), upstream::restart, () -> {});
            case 15 -> awayMetadataStore();
            case 16 -> cacheStoreRestart();
            default -> new Fault("drain of " + upstream.id(), upstream::drain, () -> {});
        };
    }

    private Fault drawCalmChange() {
        StandInFormats.Variant usual = StandInFormats.Variant.USUAL;
        return switch (random.nextInt(12)) {
            case 0, 1, 2 -> silence(StandInFormats.ENGINE_SERVICE);
            case 3, 4 -> silence(StandInFormats.PLAIN_SERVICE);
            case 5 -> change(
                    "idle limit",
                    new StandInFormats.Variant(
                            0,
                            0,
                            usual.timeoutMillis(),
                            SoakRun.SHORT_IDLE_LIMIT_MILLIS,
                            usual.streamObjectiveMillis(),
                            ""));
            case 6 -> change(
                    "time-out",
                    new StandInFormats.Variant(
                            0, 0, SHORT_TIMEOUT_MILLIS, usual.idleLimitMillis(), usual.streamObjectiveMillis(), ""));
            case 7, 8 -> new Fault("key rotation of a team", platform::rotateKey, () -> {});
            case 9, 10 -> new Fault("versions", this::nameVersions, () -> {});
            default -> {
                NodeProcess node = nodes.node(random.nextInt(nodes.count()));
                Fault stop = termination(node, "TERM");
                yield new Fault(
                        "planned stop of " + node.name(),
                        () -> {
                            guarantees.onPlannedStop();
                            stop.begin().run();
                        },
                        stop.end());
            }
        };
    }

    /** Draws what may make nodes disagree on which cached parts are in use. */
    private Fault drawCacheFault() {
        NodeProcess node = nodes.node(random.nextInt(nodes.count()));
        SoakPlatform.Upstream upstream =
                platform.upstreams().get(random.nextInt(platform.upstreams().size()));
        return switch (random.nextInt(24)) {
            case 0 -> awayMetadataStore();
            case 1, 2, 3 -> new Fault("versions", this::nameVersions, () -> {});
            case 4 -> termination(node, random.nextBoolean() ? "KILL" : "TERM");
            case 5 -> pause(node);
            case 6 -> awayLeader(random);
            case 7 -> cacheStoreRestart();
            case 8 -> new Fault("restart of " + upstream.id(), upstream::restart, () -> {});
            default -> new Fault("nothing", () -> {}, () -> {});
        };
    }

    /** Draws what breaks streams off, and releases of engines. */
    private Fault drawStreamFault() {
        int index = random.nextInt(nodes.count());
        NodeProcess node = nodes.node(index);
        faultsSincePowerLoss++;
        if (faultsSincePowerLoss > faultsWhileNodesStart + 1 && random.nextBoolean()) {
            return powerLoss(drawRelease());
        }
        // Until the first power loss all engines have one version, and nodes that start see no further release for a
        // while.
        boolean mayRelease = released && faultsSincePowerLoss > faultsWhileNodesStart;
        return switch (mayRelease ? random.nextInt(20) : 4 + random.nextInt(16)) {
            case 0, 1, 2 -> new Fault(
                    "release", () -> record("release of " + engines().release()), () -> {});
            case 3 -> new Fault(
                    "whole release", () -> record("release of " + engines().replace()), () -> {});
            case 4, 5, 6, 7, 8 -> new Fault(
                    "kill of an engine", () -> record(engines().killOne()), () -> {});
            case 9, 10, 11, 12 -> new Fault("reset of streams", engines()::resetStreams, () -> {});
            case 13, 14, 15 -> termination(node, "KILL");
            case 16 -> pause(node);
            case 17 -> disturbing(cut(
                    drawMode(random), "metadata store " + node.name(), MAX_FAULT_MILLIS, nodes.toMetadataStore(index)));
            case 18 -> disturbing(metadataStoreFault());
            default -> new Fault("compaction", platform.metadataStore()::compact, () -> {});
        };
    }

    /** Draws what lets a node be out of step while requests move from one software version to another. */
    private Fault drawReleaseFault() {
        int index = random.nextInt(nodes.count());
        NodeProcess node = nodes.node(index);
        return switch (random.nextInt(16)) {
            case 0, 1, 2, 3, 4, 5 -> moves(out(index), MAX_AWAY_MILLIS);
            case 6, 7, 8 -> lostSender(index);
            case 9, 10 -> out(index);
            case 11 -> new Fault("move of requests", () -> record(engines().moveWaiting()), () -> {});
            case 12 -> new Fault("kill of an engine", () -> record(engines().killOne()), () -> {});
            case 13 -> new Fault("reset of streams", engines()::resetStreams, () -> {});
            case 14 -> termination(node, "KILL");
            default -> moves(metadataStoreFault(), MAX_FAULT_MILLIS);
        };
    }

    /** A node is suspended, or its way to the metadata store is disturbed. */
    private Fault out(int index) {
        NodeProcess node = nodes.node(index);
        return random.nextInt(3) == 0
                ? pause(node)
                : proxyFault("connection to the metadata store " + node.name(), nodes.toMetadataStore(index));
    }

    /** Beside a fault requests move before their first event, and then streams break off. */
    private Fault moves(Fault fault, int maxMillis) {
        int moveMillis = between(random, MIN_GAP_MILLIS, MAX_MOVE_MILLIS);
        int breakMillis = moveMillis + between(random, MIN_GAP_MILLIS, MAX_BREAK_MILLIS);
        return disturbing(new Fault(
                fault.name() + ", moves after " + moveMillis + " ms, resets after " + breakMillis + " ms,",
                maxMillis,
                () -> {
                    fault.begin().run();
                    later(moveMillis, "move", () -> record(engines().moveWaiting()));
                    for (int count = 0; count < RESETS; count++) {
                        later(breakMillis + count * RESET_INTERVAL_MILLIS, "resets", engines()::resetStreams);
                    }
                },
                fault.end()));
    }

    /** A node cannot write while its requests move, and is then killed; what it had not written is lost. */
    private Fault lostSender(int index) {
        NodeProcess node = nodes.node(index);
        FaultProxy proxy = nodes.toMetadataStore(index);
        Fault moves = moves(
                cut(drawMode(random), "connection to the metadata store " + node.name(), MAX_AWAY_MILLIS, proxy),
                MAX_AWAY_MILLIS);
        Fault kill = termination(node, "KILL");
        int downMillis = between(random, MIN_DOWN_MILLIS, MAX_DOWN_MILLIS);
        return new Fault(moves.name() + " killed", MAX_AWAY_MILLIS, moves.begin(), () -> {
            // Reset, so that no call that was held back arrives later.
            proxy.setMode(FaultProxy.Mode.RESET);
            kill.begin().run();
            later(downMillis, kill.name(), () -> {
                moves.end().run();
                kill.end().run();
            });
        });
    }

    private void later(int millis, String name, Action action) {
        timer.schedule(() -> run(action, name), millis, TimeUnit.MILLISECONDS);
    }

    /** Replaces one engine by one of the newest version, and the next one follows. */
    private void releaseNext() {
        if (System.currentTimeMillis() >= endMillis) {
            return;
        }
        record("release: " + engines().replaceNext());
        timer.schedule(
                this::releaseNext, between(seriesRandom, MIN_TURN_MILLIS, MAX_TURN_MILLIS), TimeUnit.MILLISECONDS);
    }

    /** Draws what lets nodes be late with changes of the configuration. */
    private Fault drawChangeFault() {
        int index = random.nextInt(nodes.count());
        NodeProcess node = nodes.node(index);
        StandInStore store = platform.metadataStore();
        faultsSincePowerLoss++;
        if (faultsSincePowerLoss > faultsWhileNodesStart && random.nextInt(3) == 0) {
            faultsSincePowerLoss = 0;
            return twoPowerLosses();
        }
        return switch (random.nextInt(12)) {
            case 0, 1 -> pause(node);
            case 2, 3 -> termination(node, "KILL");
            case 4 -> proxyFault("connection to the metadata store " + node.name(), nodes.toMetadataStore(index));
            case 5 -> metadataStoreFault();
            case 6, 7 -> new Fault("compaction", store::compact, () -> {});
            case 8 -> new Fault(
                    "slow metadata store",
                    () -> store.setDelayMillis(SLOW_STORE_MILLIS),
                    () -> store.setDelayMillis(0));
            case 9, 10 -> new Fault(
                    "thin link of the metadata store",
                    () -> store.setLinkRate(THIN_LINK_BYTES_PER_SECOND),
                    () -> store.setLinkRate(Long.MAX_VALUE));
            default -> new Fault(
                    "change of the number of routes",
                    () -> platform.setIdleRoutes(LARGE_CONFIGURATION_ROUTES),
                    () -> platform.setIdleRoutes(SoakPlatform.IDLE_ROUTES));
        };
    }

    /** Kills all nodes, and mostly a second time soon after their start. */
    private Fault twoPowerLosses() {
        Fault first = powerLoss(Release.NONE);
        Fault second = powerLoss(Release.NONE);
        int gapMillis = between(random, MIN_SECOND_LOSS_MILLIS, MAX_SECOND_LOSS_MILLIS);
        if (random.nextInt(4) == 0) {
            return first;
        }
        return new Fault(
                first.name() + "; " + second.name() + ", " + gapMillis + " ms later",
                () -> {
                    first.begin().run();
                    timer.schedule(() -> run(second.begin(), second.name()), gapMillis, TimeUnit.MILLISECONDS);
                },
                () -> {});
    }

    /** Adds routes to the configuration and drops others, and the next change follows. */
    private void changeRoutes() {
        if (System.currentTimeMillis() >= endMillis) {
            return;
        }
        platform.moveIdleRoutes(1 + seriesRandom.nextInt(2));
        timer.schedule(
                this::changeRoutes,
                between(seriesRandom, MIN_CHANGE_GAP_MILLIS, MAX_CHANGE_GAP_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private Release drawRelease() {
        Release drawn = Release.values()[random.nextInt(Release.values().length)];
        Release first = drawn == Release.NONE ? Release.WHILE_DOWN : drawn;
        Release release = released ? drawn : first;
        faultsSincePowerLoss = 0;
        released = true;
        return release;
    }

    private StreamEngines engines() {
        return platform.engines();
    }

    private Fault disturbing(Fault fault) {
        return new Fault(
                fault.name(),
                fault.maxMillis(),
                () -> {
                    platform.beginDisturbance();
                    fault.begin().run();
                },
                () -> {
                    fault.end().run();
                    platform.endDisturbance();
                });
    }

    /** When engines are replaced by ones of another version, as seen from the power loss of all nodes. */
    private enum Release {
        NONE,
        BEFORE,
        WHILE_DOWN
    }

    /** Kills all nodes at once, and starts them again. */
    private Fault powerLoss(Release release) {
        int startMillis = between(random, MIN_DOWN_MILLIS, MAX_DOWN_MILLIS);
        int releaseMillis = random.nextInt(MAX_RELEASE_MILLIS);
        return new Fault(
                "power loss of all nodes, start after " + startMillis + " ms, release " + release + " " + releaseMillis
                        + " ms",
                () -> {
                    if (release == Release.BEFORE) {
                        record("release of " + engines().replace());
                        Thread.sleep(releaseMillis);
                    }
                    List<NodeProcess> killed = nodes.killAll();
                    record("killed " + killed.size() + " nodes");
                    timer.schedule(
                            () -> killed.forEach(node -> run(() -> nodes.restart(node), "start of " + node.name())),
                            startMillis,
                            TimeUnit.MILLISECONDS);
                    if (release == Release.WHILE_DOWN) {
                        Thread.sleep(releaseMillis);
                        record("release of " + engines().replace());
                    }
                },
                () -> {});
    }

    private static Fault pause(NodeProcess node) {
        return new Fault("pause " + node.name(), () -> node.signal("STOP"), () -> node.signal("CONT"));
    }

    private Fault cacheStoreRestart() {
        int index = random.nextInt(2);
        long downMillis = MIN_STORE_RESTART_MILLIS + random.nextInt(STORE_RESTART_RANGE_MILLIS);
        return new Fault(
                "restart of cache store " + index + " in " + downMillis + " ms",
                () -> platform.restartCacheStore(index, downMillis),
                () -> {});
    }

    private Fault change(String what, StandInFormats.Variant variant) {
        return new Fault(
                "change of the " + what,
                () -> platform.configure(variant),
                () -> platform.configure(StandInFormats.Variant.USUAL));
    }

    /** Lets all upstreams of a service, or all but one, fall silent. */
    private Fault silence(String service) {
        long millis = SILENCE_MILLIS + random.nextInt(SILENCE_RANGE_MILLIS);
        int skipped = random.nextInt(2);
        return new Fault(
                (skipped == 0 ? "silence of all " : "silence of most ") + service,
                () -> platform.fallSilent(service, skipped, millis),
                () -> {});
    }

    private void nameVersions() {
        int count = 1 + random.nextInt(3);
        for (int index = 0; index < count; index++) {
            long pauseMillis = (long) index * random.nextInt(MAX_NAME_PAUSE_MILLIS);
            timer.schedule(platform::changeWeightVersion, pauseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private Fault proxyFault(String what, FaultProxy proxy) {
        if (random.nextInt(4) == 0) {
            long delayMillis = 1L + random.nextInt(300);
            return new Fault(
                    "delay of " + delayMillis + " ms on the " + what,
                    () -> proxy.setDelayMillis(delayMillis),
                    () -> proxy.setDelayMillis(0));
        }
        return cut(drawMode(random), what, MAX_FAULT_MILLIS, proxy);
    }

    private static FaultProxy.Mode drawMode(Random draw) {
        return FaultProxy.Mode.values()[1 + draw.nextInt(FaultProxy.Mode.values().length - 1)];
    }

    private static Fault cut(FaultProxy.Mode mode, String what, int maxMillis, FaultProxy proxy) {
        return new Fault(
                mode + " on the " + what,
                maxMillis,
                () -> proxy.setMode(mode),
                () -> proxy.setMode(FaultProxy.Mode.OPEN));
    }

    private StandInStore.Mode drawStoreMode() {
        return StandInStore.Mode.values()[1 + random.nextInt(StandInStore.Mode.values().length - 1)];
    }

    private Fault metadataStoreFault() {
        StandInStore.Mode mode = drawStoreMode();
        return new Fault(
                mode + " metadata store", () -> platform.metadataStore().setMode(mode), () -> platform.metadataStore()
                        .setMode(StandInStore.Mode.UP));
    }

    /** The metadata store is away for seconds; registrations of some upstreams lapse and are back soon after its return. */
    private Fault awayMetadataStore() {
        StandInStore.Mode mode = drawStoreMode();
        int lapsing = random.nextInt(platform.upstreams().size());
        List<SoakPlatform.Upstream> lapsed = platform.upstreams().subList(0, lapsing);
        int backMillis = random.nextInt(MAX_REREGISTRATION_MILLIS);
        return new Fault(
                mode + " metadata store, " + lapsing + " registrations lapse, are back after " + backMillis + " ms,",
                MAX_AWAY_MILLIS,
                () -> {
                    platform.metadataStore().setMode(mode);
                    lapsed.forEach(SoakPlatform.Upstream::lapse);
                },
                () -> {
                    platform.metadataStore().setMode(StandInStore.Mode.UP);
                    lapsed.forEach(
                            upstream -> timer.schedule(upstream::registerAgain, backMillis, TimeUnit.MILLISECONDS));
                });
    }

    /** The node that leads is suspended, or cut off from the metadata store, for seconds. */
    private Fault awayLeader(Random draw) {
        int index = nodes.leader().orElseGet(() -> draw.nextInt(nodes.count()));
        NodeProcess node = nodes.node(index);
        if (draw.nextBoolean()) {
            return new Fault(
                    "pause of the leader " + node.name(),
                    MAX_AWAY_MILLIS,
                    () -> node.signal("STOP"),
                    () -> node.signal("CONT"));
        }
        return cut(
                drawMode(draw),
                "connection of the leader " + node.name() + " to the metadata store",
                MAX_AWAY_MILLIS,
                nodes.toMetadataStore(index));
    }

    /** Isolates a team or no longer so, and the next change follows; around some changes the leader is away. */
    private void changeIsolation() {
        if (System.currentTimeMillis() >= endMillis) {
            return;
        }
        boolean isolates = platform.isolatedTeam().isEmpty();
        // Mostly the same team, so that its groups come back into use.
        String other = seriesRandom.nextInt(4) == 0 ? "b" : "a";
        String team = isolates ? other : "";
        int delayMillis = 0;
        if (plan.kind() != SoakRun.Kind.CALM && seriesRandom.nextInt(4) > 0) {
            begin(awayLeader(seriesRandom), seriesRandom);
            delayMillis = seriesRandom.nextInt(MIN_AWAY_MILLIS);
        }
        timer.schedule(
                () -> {
                    record(team.isEmpty() ? "no team is isolated" : "team " + team + " is isolated");
                    guarantees.onFault();
                    platform.isolate(team);
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
        timer.schedule(this::changeIsolation, delayMillis + (long) drawStayMillis(isolates), TimeUnit.MILLISECONDS);
    }

    private void scheduleEvacuation() {
        int pauseMillis = between(evacuationRandom, MIN_EVACUATION_PAUSE_MILLIS, MAX_EVACUATION_PAUSE_MILLIS);
        timer.schedule(this::evacuate, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Evacuates a data centre for some seconds, and the next evacuation follows. */
    private void evacuate() {
        if (System.currentTimeMillis() >= endMillis) {
            return;
        }
        String dataCentre = SoakPlatform.DATA_CENTRES.get(evacuationRandom.nextInt(SoakPlatform.DATA_CENTRES.size()));
        int drawnMillis = evacuationRandom.nextInt(4) == 0
                ? between(evacuationRandom, MIN_GAP_MILLIS, MAX_SHORT_EVACUATION_MILLIS)
                : between(evacuationRandom, MIN_EVACUATION_MILLIS, MAX_EVACUATION_MILLIS);
        long millis = Math.min(drawnMillis, endMillis + MAX_EVACUATION_REST_MILLIS - System.currentTimeMillis());
        record("evacuation of data centre " + dataCentre + " for " + millis + " ms");
        platform.evacuate(dataCentre);
        timer.schedule(
                () -> {
                    platform.endEvacuation(dataCentre);
                    scheduleEvacuation();
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private int drawStayMillis(boolean isolated) {
        if (isolated) {
            return between(seriesRandom, MIN_ISOLATED_MILLIS, MAX_ISOLATED_MILLIS);
        }
        return seriesRandom.nextInt(4) == 0
                ? between(seriesRandom, MIN_SHARED_MILLIS, MAX_SHORTLY_SHARED_MILLIS)
                : Math.min(
                        between(seriesRandom, MIN_LONG_SHARED_MILLIS, MAX_SHARED_MILLIS),
                        between(seriesRandom, MIN_LONG_SHARED_MILLIS, MAX_SHARED_MILLIS));
    }

    /** Terminates a node and starts it again; if it is already terminating, a second signal schedules no start. */
    private Fault termination(NodeProcess node, String signal) {
        boolean[] first = new boolean[1];
        return new Fault(signal + " " + node.name(), () -> first[0] = node.terminate(signal), () -> {
            if (first[0]) {
                nodes.restart(node);
            }
        });
    }
}
