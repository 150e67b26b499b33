package org.cowslipbank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.cowslipbank.platform.StandInFormats;

/**
 * One soak test: runs nodes as processes and injects faults, which are drawn from the seed, into the processes, their
 * connections and the stand-ins of the platform. Clients and upstreams report what they observe to a checker of the
 * guarantees. Faults may overlap; each has a limited duration, and the test ends with a fault-free period.
 */
public final class SoakRun {
    private static final long REVOCATION_LIMIT_MILLIS = 5_000;
    private static final long LEASE_MILLIS = 3_000;
    private static final long GRACE_SECONDS = 8;
    private static final long VERSION_LIMIT_MILLIS = 6_000;
    private static final long EVACUATION_LIMIT_MILLIS = 5_000;
    /** Smallest fleet in which nodes follow hubs. */
    private static final int NODES_WITH_HUBS = 10;

    /**
     * Time after which a configuration is in force at nodes in touch, as the deployments with hubs state it. Smaller fleets are
     * checked by the bound that nodes keep by their own clocks, which does not depend on the machine's speed.
     */
    private static final long APPLY_LIMIT_MILLIS = 3_000;

    private static final StandInFormats.Bounds BOUNDS = new StandInFormats.Bounds(
            REVOCATION_LIMIT_MILLIS, LEASE_MILLIS, GRACE_SECONDS, VERSION_LIMIT_MILLIS, EVACUATION_LIMIT_MILLIS);

    /** Time after the last fault within which requests must be served again, from the platform's rules. */
    private static final long RECOVERY_MILLIS = 15_000;
    /** The same where the served share is not checked: short, so that more seeds are run. */
    private static final long SHORT_RECOVERY_MILLIS = 5_000;

    /** Share of the requests that must be served after recovery, from the platform's rules. */
    private static final double RECOVERED_SHARE = 0.25;

    /** Length of the measurement of the served share after recovery. */
    private static final long FINAL_MEASUREMENT_MILLIS = 3_000;

    /** Without faults more: a silence then meets enough requests to use up a retry budget. */
    private static final Map<Kind, Integer> CLIENTS_PER_NODE =
            Map.of(Kind.FAULTS, 4, Kind.CALM, 12, Kind.CACHE, 6, Kind.STREAMS, 6, Kind.RELEASES, 10, Kind.CHANGES, 4);

    /** Slots of an engine for each client of all nodes: three quarters are then in use (measured by this test). */
    private static final double SLOTS_PER_CLIENT = 0.18;

    /** Threads that end faults; the end of a fault may block until a node exits. */
    private static final int TIMER_THREADS = 16;

    /** Requests, on average, after which a client picks a team again and fetches its current key. */
    private static final int REQUESTS_PER_KEY = 40;

    private static final long SLOT_USE_INTERVAL_MILLIS = 500;

    /** Shorter than the shortest fault, so that each is seen. */
    private static final long DISTURBANCE_INTERVAL_MILLIS = 50;

    static final int SHORT_IDLE_LIMIT_MILLIS = 8_000;

    /** What disturbs the nodes. */
    public enum Kind {
        /** Faults of processes, connections, upstreams and the metadata store. */
        FAULTS,
        /**
         * Nothing that the platform's rules count as a fault: sound upstreams that are silent for a second, second copies of
         * answers, configuration changes, versions in quick succession and planned stops. More is guaranteed than beside
         * faults.
         */
        CALM,
        /**
         * What may make nodes disagree on which cached parts are in use: teams that are isolated and no longer so, versions in
         * series, a leader or a metadata store that is away for seconds, registrations that lapse, nodes that are started.
         */
        CACHE,
        /**
         * What breaks streams off and replaces the engines that began them: engines of several software versions that are
         * released in series, also while all nodes are down, killed engines and nodes, resets. Clients take streams up.
         */
        STREAMS,
        /**
         * What lets single nodes be out of step while streams begin at two software versions: engines that are released in turn,
         * prompts that take seconds, requests that move before their first event, nodes that are suspended, cut off from the
         * metadata store or killed meanwhile. Clients take streams up, half of the time at a node that is or was out of step.
         */
        RELEASES,
        /**
         * What lets nodes be late with the configuration: routes that are added and dropped in series, power losses soon after each
         * other, nodes that are suspended, a metadata store that is slow, has a thin link or forgets its history.
         */
        CHANGES;

        /**
         * Returns whether all requests are for streams, which clients take up.
         *
         * @return true for streams only
         */
        public boolean isOfStreams() {
            return this == STREAMS || this == RELEASES;
        }
    }

    /**
     * Parameters of a soak test.
     *
     * @param kind what disturbs the nodes
     * @param seed seed of the faults and requests
     * @param seconds time during which faults are injected, in seconds
     * @param nodes number of nodes
     * @param programs JVM arguments that select the program, such as {@code -jar FILE}; with several, nodes run different
     *     builds side by side and each start of a node takes the next one
     * @param directory directory for the settings and logs of the nodes
     */
    public record Plan(Kind kind, long seed, long seconds, int nodes, List<List<String>> programs, Path directory) {}

    /**
     * What was measured of streams.
     *
     * @param streams number of streams
     * @param whole number of those that ended as complete
     * @param joined number of those with events of several software versions
     * @param begins number of new streams that were sent to a node in touch
     * @param begun number of those that got an event
     * @param takenUp number of streams that were taken up at a node in touch while two engines of their version served
     * @param wentOn number of those that got a further event or their end
     */
    public record StreamFigures(int streams, int whole, int joined, int begins, int begun, int takenUp, int wentOn) {}

    /**
     * Result of a soak test.
     *
     * @param violations violations of guarantees, each with its time in milliseconds
     * @param faults faults that were injected, each with its time in milliseconds
     * @param sent number of requests that clients sent
     * @param served number of requests answered with success
     * @param rejected number of requests rejected with the guarantee that they have not run
     * @param servedAtEnd share of the requests that were served in the last fault-free seconds
     * @param fetches number of parts that engines read from cache stores
     * @param secondAnswers number of second answers that upstreams sent
     * @param besideEvacuations number of requests from nodes in touch that reached any upstream while a data centre had been
     *     evacuated for longer than the bound
     * @param slotUse mean share of the engines' slots in use while faults were injected
     * @param streams what was measured of streams that clients took up
     */
    public record Outcome(
            List<String> violations,
            List<String> faults,
            long sent,
            long served,
            long rejected,
            double servedAtEnd,
            long fetches,
            long secondAnswers,
            long besideEvacuations,
            double slotUse,
            StreamFigures streams) {
        /**
         * Returns whether every guarantee held.
         *
         * @return true if there is no violation
         */
        public boolean guaranteesHeld() {
            return violations.isEmpty();
        }

        /**
         * Returns whether too few of the streams that clients took up went on, in proportion to the new ones that began.
         *
         * @return true if this was found
         */
        public boolean tooFewTakenUp() {
            return violations.stream().anyMatch(Outcome::isOfTakeUps);
        }

        /**
         * Returns whether all guarantees held but the one on the share of streams that go on when clients take them up.
         *
         * @return true if nothing else was found
         */
        public boolean otherGuaranteesHeld() {
            return violations.stream().allMatch(Outcome::isOfTakeUps);
        }

        private static boolean isOfTakeUps(String violation) {
            return violation.contains(StreamOrderChecker.TAKEN_UP);
        }
    }

    private final Plan plan;
    private final Random random;
    private final Consumer<String> progress;
    private final GuaranteeChecker guarantees;
    private final StreamOrderChecker order;
    private final RouteHistory routes;
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(TIMER_THREADS, SoakRun::newDaemonThread);
    private final DoubleAdder slotUse = new DoubleAdder();
    private final LongAdder slotUseReadings = new LongAdder();
    private volatile boolean stopped;

    /**
     * Creates a soak test; {@link #run()} starts it.
     *
     * @param plan parameters of the test
     * @param progress receives one line for each injected fault
     */
    public SoakRun(Plan plan, Consumer<String> progress) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        long applyMillis = plan.nodes() < NODES_WITH_HUBS ? REVOCATION_LIMIT_MILLIS : APPLY_LIMIT_MILLIS;
        this.guarantees = new GuaranteeChecker(
                BOUNDS, SoakPlatform.DRAIN_MILLIS, applyMillis, plan.kind() == Kind.CALM, System::currentTimeMillis);
        this.order = new StreamOrderChecker(violation -> guarantees.check(false, violation));
        this.routes = new RouteHistory(applyMillis, System::currentTimeMillis);
        this.progress = progress;
    }

    /**
     * Runs the soak test.
     *
     * @return the result
     * @throws IOException if a process or listener cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public Outcome run() throws IOException, InterruptedException {
        Files.createDirectories(plan.directory());
        int clients = plan.nodes() * CLIENTS_PER_NODE.get(plan.kind());
        int slots = (int) Math.ceil(clients * (plan.kind().isOfStreams() ? 1 : SLOTS_PER_CLIENT));
        SoakPlatform platform = new SoakPlatform(plan, random, slots, guarantees, order, routes, timer);
        SoakNodes nodes = new SoakNodes(BOUNDS, platform.metadataStore(), guarantees);
        // Destroys the node processes if the JVM is stopped during the test.
        Thread cleanup = new Thread(nodes::destroy, "soak-cleanup");
        Runtime.getRuntime().addShutdownHook(cleanup);
        try {
            nodes.start(plan);
            timer.scheduleAtFixedRate(
                    () -> reportDisturbed(platform, nodes), 0, DISTURBANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            startClients(clients, platform, nodes);
            SoakFaults faults = new SoakFaults(plan, platform, nodes, guarantees, timer, random, progress);
            timer.scheduleAtFixedRate(
                    () -> readSlotUse(platform),
                    SLOT_USE_INTERVAL_MILLIS,
                    SLOT_USE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            faults.inject();
            return finish(platform, nodes, faults);
        } finally {
            stopped = true;
            timer.shutdownNow();
            nodes.stop();
            platform.stop();
        }
    }

    private static void reportDisturbed(SoakPlatform platform, SoakNodes nodes) {
        platform.reportDisturbed();
        nodes.reportDisturbed();
    }

    private void readSlotUse(SoakPlatform platform) {
        slotUse.add(platform.slotUse());
        slotUseReadings.increment();
    }

    private void startClients(int count, SoakPlatform platform, SoakNodes nodes) {
        for (int index = 0; index < count; index++) {
            Random own = new Random(plan.seed() * 31 + index);
            SoakClient.Credentials[] current = {platform.credentials()[0]};
            Supplier<SoakClient.Credentials> credentials = () -> {
                // A client uses the old key for a while after a key rotation.
                if (own.nextInt(REQUESTS_PER_KEY) == 0) {
                    current[0] = platform.credentials()[own.nextInt(platform.credentials().length)];
                }
                return current[0];
            };
            Runnable client = plan.kind().isOfStreams()
                    ? new StreamClient(
                            new StreamClient.Checkers(guarantees, order),
                            own,
                            credentials,
                            nodes,
                            platform::isUndisturbed,
                            plan.kind(),
                            () -> stopped)
                    : new SoakClient(
                            guarantees,
                            own,
                            credentials,
                            () -> nodes.clientPort(own),
                            plan.kind() == Kind.CHANGES ? Optional.of(routes) : Optional.empty(),
                            plan.kind() == Kind.CALM ? SHORT_IDLE_LIMIT_MILLIS * 4 / 5 : 0,
                            () -> stopped);
            newDaemonThread(client).start();
        }
    }

    private Outcome finish(SoakPlatform platform, SoakNodes nodes, SoakFaults faults)
            throws IOException, InterruptedException {
        double meanSlotUse = slotUse.sum() / Math.max(1, slotUseReadings.sum());
        // Nodes of these soaks are killed only, so none has a grace period.
        boolean killedOnly = plan.kind().isOfStreams() || plan.kind() == Kind.CHANGES;
        long graceMillis = killedOnly ? 0 : (BOUNDS.graceSeconds() + 1) * 1_000;
        Thread.sleep(SoakFaults.MAX_FAULT_MILLIS + graceMillis);
        platform.endFaults();
        nodes.proxies().forEach(proxy -> proxy.setMode(FaultProxy.Mode.OPEN));
        Thread.sleep(killedOnly ? SHORT_RECOVERY_MILLIS : RECOVERY_MILLIS);
        GuaranteeChecker.Counts before = guarantees.counts();
        Thread.sleep(FINAL_MEASUREMENT_MILLIS);
        GuaranteeChecker.Counts after = guarantees.counts();
        stopped = true;
        double servedAtEnd = (after.served() - before.served()) / Math.max(1.0, after.sent() - before.sent());
        guarantees.check(
                killedOnly || servedAtEnd >= RECOVERED_SHARE,
                "share of requests served after recovery is " + servedAtEnd + ", expected " + RECOVERED_SHARE);
        nodes.restartExited();
        guarantees.checkRetryBudget();
        order.checkTakeUps();
        return new Outcome(
                guarantees.violations(),
                faults.names(),
                after.sent(),
                after.served(),
                after.rejected(),
                servedAtEnd,
                after.fetches(),
                after.secondAnswers(),
                after.besideEvacuations(),
                meanSlotUse,
                order.figures());
    }

    private static Thread newDaemonThread(Runnable work) {
        Thread thread = new Thread(work, "soak");
        thread.setDaemon(true);
        return thread;
    }
}
