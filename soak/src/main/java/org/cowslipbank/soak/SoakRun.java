package org.cowslipbank.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStore;
import org.cowslipbank.platform.StandInUpstream;
import reactor.netty.resources.LoopResources;

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
    private static final StandInFormats.Bounds BOUNDS =
            new StandInFormats.Bounds(REVOCATION_LIMIT_MILLIS, LEASE_MILLIS, GRACE_SECONDS, VERSION_LIMIT_MILLIS);
    private static final long DRAIN_MILLIS = 3_000;
    private static final long START_TIMEOUT_MILLIS = 20_000;
    /** Time after the last fault within which requests must be served again, from the platform's rules. */
    private static final long RECOVERY_MILLIS = 15_000;
    /** Share of the requests that must be served after recovery, from the platform's rules. */
    private static final double RECOVERED_SHARE = 0.25;

    /** Length of the measurement of the served share after recovery. */
    private static final long FINAL_MEASUREMENT_MILLIS = 3_000;

    private static final int PORTS_PER_NODE = 6;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    private static final int CLIENTS_PER_NODE = 4;
    /** The same without faults: a silence then meets enough requests to use up a retry budget. */
    private static final int CALM_CLIENTS_PER_NODE = 12;

    /** Threads that end faults; the end of a fault may block until a node exits. */
    private static final int TIMER_THREADS = 16;

    /** Share of the requests that upstreams reject, fail or abort. */
    private static final double FAILING_SHARE = 0.06;

    /** Requests, on average, after which a client picks a team again and fetches its current key. */
    private static final int REQUESTS_PER_KEY = 40;

    private static final int PORT_TRIES = 200;
    private static final int UPSTREAMS_PER_SERVICE = 3;
    private static final int MIN_FAULT_GAP_MILLIS = 150;
    private static final int MAX_FAULT_GAP_MILLIS = 1_800;
    private static final int MAX_FAULT_MILLIS = 4_000;
    private static final int LARGE_CONFIGURATION_ROUTES = 800;

    /** Shortest silence of a sound upstream, from the platform's pages, and the range up to the longest. */
    private static final int SILENCE_MILLIS = 1_000;

    private static final int SILENCE_RANGE_MILLIS = 300;

    /** Range of the pause between two names of weight versions in quick succession. */
    private static final int MAX_NAME_PAUSE_MILLIS = 2_500;

    private static final int SHORT_IDLE_LIMIT_MILLIS = 8_000;
    private static final int SHORT_TIMEOUT_MILLIS = 3_000;

    /** What disturbs the nodes. */
    public enum Kind {
        /** Faults of processes, connections, upstreams and the metadata store. */
        FAULTS,
        /**
         * Nothing that the platform's rules count as a fault: sound upstreams that are silent for a second, second copies of
         * answers, configuration changes, versions in quick succession and planned stops. More is guaranteed than beside
         * faults.
         */
        CALM
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
     * Result of a soak test.
     *
     * @param violations violations of guarantees, each with its time in milliseconds
     * @param faults faults that were injected, each with its time in milliseconds
     * @param sent number of requests that clients sent
     * @param served number of requests answered with success
     * @param rejected number of requests rejected with the guarantee that they have not run
     * @param servedAtEnd share of the requests that were served in the last fault-free seconds
     */
    public record Outcome(
            List<String> violations, List<String> faults, long sent, long served, long rejected, double servedAtEnd) {
        /**
         * Returns whether every guarantee held.
         *
         * @return true if there is no violation
         */
        public boolean guaranteesHeld() {
            return violations.isEmpty();
        }
    }

    /** An upstream with the proxy whose port it is registered with. */
    private final class Upstream {
        private final String service;
        private final FaultProxy proxy;
        private StandInUpstream server;
        private String id;
        private long startedAtMillis;

        Upstream(String service) throws IOException {
            this.service = service;
            this.proxy = new FaultProxy(0);
            start(1);
        }

        private void start(long version) {
            startedAtMillis = System.currentTimeMillis();
            id = "i-" + service + "-" + Long.toHexString(random.nextLong());
            server = new StandInUpstream(id, 0, version, observer(this), loops);
            proxy.setTarget(server.port());
            register(false);
        }

        private void register(boolean draining) {
            Map.Entry<String, String> item = server.registration(service, draining, proxy.port(), startedAtMillis);
            metadataStore.put(item.getKey(), item.getValue());
        }

        private void restart() {
            server.stop();
            metadataStore.remove(StandInFormats.registrationKey(id));
            start(server.version());
        }
    }

    private final Plan plan;
    private final Random random;
    private final Consumer<String> progress;
    private final LoopResources loops = LoopResources.create("soak", 2, true);
    private final StandInStore metadataStore = new StandInStore(loops);
    private final GuaranteeChecker guarantees;
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(TIMER_THREADS, SoakRun::newDaemonThread);
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Integer> clientPorts = new ArrayList<>();
    private final List<FaultProxy> metadataStoreProxies = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, List<String>> keysByTeam = new HashMap<>();
    private volatile boolean stopped;
    private volatile boolean faultFree;
    private volatile SoakClient.Credentials[] credentials;
    private long configurationVersion;
    private long weightVersion = 1;

    /** Returns an observer that selects how the upstream handles each request and reports runs and orders. */
    private StandInUpstream.Observer observer(Upstream upstream) {
        return new StandInUpstream.Observer() {
            @Override
            public StandInUpstream.RunOutcome onRun(StandInUpstream.Run run) {
                guarantees.onArrival(upstream.service, run.id());
                StandInUpstream.RunOutcome outcome = drawFate();
                if (outcome != StandInUpstream.RunOutcome.REJECTED) {
                    guarantees.onRun(run);
                }
                return outcome;
            }

            @Override
            public void onBegun(StandInUpstream.Run run, long version) {
                guarantees.onBegun(run, version);
            }

            @Override
            public void onOrder(StandInUpstream.Order order) {
                guarantees.onOrder(order);
            }

            @Override
            public void onLoaded(long version) {
                upstream.register(false);
            }
        };
    }

    /**
     * Creates a soak test; {@link #run()} starts it.
     *
     * @param plan parameters of the test
     * @param progress receives one line for each injected fault
     */
    public SoakRun(Plan plan, Consumer<String> progress) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.guarantees =
                new GuaranteeChecker(BOUNDS, DRAIN_MILLIS, plan.kind() == Kind.CALM, System::currentTimeMillis);
        this.progress = progress;
    }

    private StandInUpstream.RunOutcome drawFate() {
        // Not seeded: requests arrive in a different order in each run.
        ThreadLocalRandom draw = ThreadLocalRandom.current();
        if (faultFree || draw.nextDouble() >= FAILING_SHARE) {
            return StandInUpstream.RunOutcome.ANSWERED;
        }
        if (plan.kind() == Kind.CALM) {
            return StandInUpstream.RunOutcome.DOUBLED;
        }
        StandInUpstream.RunOutcome[] fates = StandInUpstream.RunOutcome.values();
        return fates[1 + draw.nextInt(fates.length - 1)];
    }

    /**
     * Runs the soak test.
     *
     * @return the result
     * @throws IOException if a process or listener cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public Outcome run() throws IOException, InterruptedException {
        // Destroys the node processes if the JVM is stopped during the test.
        Thread cleanup = new Thread(() -> nodes.forEach(NodeProcess::destroy), "soak-cleanup");
        Runtime.getRuntime().addShutdownHook(cleanup);
        try {
            prepare();
            startClients();
            long endMillis = System.currentTimeMillis() + plan.seconds() * 1_000;
            while (System.currentTimeMillis() < endMillis) {
                Thread.sleep(MIN_FAULT_GAP_MILLIS + random.nextInt(MAX_FAULT_GAP_MILLIS - MIN_FAULT_GAP_MILLIS));
                injectFault();
                restartExitedNodes();
            }
            return finish();
        } finally {
            stop();
        }
    }

    private void prepare() throws IOException, InterruptedException {
        Files.createDirectories(plan.directory());
        keysByTeam.put("a", List.of("key-a-0"));
        keysByTeam.put("b", List.of("key-b-0"));
        configure(StandInFormats.Variant.USUAL);
        for (int index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
            upstreams.add(new Upstream(StandInFormats.PLAIN_SERVICE));
            upstreams.add(new Upstream(StandInFormats.ENGINE_SERVICE));
        }
        int port = freePorts(plan.nodes() * PORTS_PER_NODE);
        for (int index = 0; index < plan.nodes(); index++) {
            FaultProxy proxy = new FaultProxy(metadataStore.port());
            metadataStoreProxies.add(proxy);
            int first = port + index * PORTS_PER_NODE;
            clientPorts.add(first);
            byte[] settings = StandInFormats.settings("n" + index, first, proxy.port(), BOUNDS);
            NodeProcess node =
                    new NodeProcess("n" + index, plan.directory(), settings, rotated(plan.programs(), index));
            nodes.add(node);
            node.start();
        }
        long untilMillis = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        for (int client : clientPorts) {
            while (!accepts(client) && System.currentTimeMillis() < untilMillis) {
                Thread.sleep(MIN_FAULT_GAP_MILLIS);
            }
        }
    }

    private static <T> List<T> rotated(List<T> list, int distance) {
        List<T> rotated = new ArrayList<>(list);
        Collections.rotate(rotated, distance);
        return rotated;
    }

    private static boolean accepts(int port) {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            // The node is not listening yet.
            return false;
        }
    }

    private synchronized void configure(StandInFormats.Variant variant) {
        configurationVersion += 1 + random.nextInt(3);
        metadataStore.put(
                StandInFormats.CONFIGURATION_KEY,
                StandInFormats.configuration(configurationVersion, keysByTeam, variant));
        guarantees.onIsolated(variant.isolatedTeam());
        guarantees.onTimeout(variant.timeoutMillis());
        credentials = keysByTeam.entrySet().stream()
                .map(entry -> new SoakClient.Credentials(
                        entry.getKey(), entry.getValue().get(0)))
                .toArray(SoakClient.Credentials[]::new);
    }

    private void startClients() {
        int clientsPerNode = plan.kind() == Kind.CALM ? CALM_CLIENTS_PER_NODE : CLIENTS_PER_NODE;
        for (int index = 0; index < plan.nodes() * clientsPerNode; index++) {
            Random own = new Random(plan.seed() * 31 + index);
            SoakClient.Credentials[] current = {credentials[0]};
            SoakClient client = new SoakClient(
                    guarantees,
                    own,
                    () -> {
                        // A client uses the old key for a while after a key rotation.
                        if (own.nextInt(REQUESTS_PER_KEY) == 0) {
                            current[0] = credentials[own.nextInt(credentials.length)];
                        }
                        return current[0];
                    },
                    () -> clientPorts.get(own.nextInt(clientPorts.size())),
                    plan.kind() == Kind.CALM ? SHORT_IDLE_LIMIT_MILLIS * 4 / 5 : 0,
                    () -> stopped);
            newDaemonThread(client).start();
        }
    }

    /** A fault: its name and the actions that begin and end it. */
    private record Fault(String name, Action begin, Action end) {}

    /** Begins or ends a fault. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private void injectFault() {
        long durationMillis = MIN_FAULT_GAP_MILLIS + random.nextInt(MAX_FAULT_MILLIS);
        Fault fault = plan.kind() == Kind.CALM ? drawCalmChange() : drawFault();
        String line = System.currentTimeMillis() + " " + fault.name() + " for " + durationMillis + " ms";
        faults.add(line);
        progress.accept(line);
        runAction(fault.begin(), fault.name());
        timer.schedule(() -> runAction(fault.end(), fault.name()), durationMillis, TimeUnit.MILLISECONDS);
    }

    private void runAction(Action action, String name) {
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
        int index = random.nextInt(nodes.size());
        NodeProcess node = nodes.get(index);
        FaultProxy toMetadataStore = metadataStoreProxies.get(index);
        Upstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        String at = " " + node.name();
        return switch (random.nextInt(16)) {
            case 0, 1 -> new Fault("pause" + at, () -> node.signal("STOP"), () -> node.signal("CONT"));
            case 2, 3 -> termination(node, "KILL");
            case 4, 5 -> termination(node, "TERM");
            case 6 -> new Fault("reload" + at, () -> node.signal("HUP"), () -> {});
            case 7 -> proxyFault("connection to the metadata store" + at, toMetadataStore);
            case 8 -> proxyFault("connection to " + upstream.id, upstream.proxy);
            case 9 -> metadataStoreFault();
            case 10 -> new Fault("compaction", metadataStore::compact, () -> {});
            case 11 -> new Fault("key rotation of a team", this::rotateKey, () -> {});
            case 12 -> new Fault(
                    "large configuration",
                    () -> configure(StandInFormats.Variant.withIdleRoutes(LARGE_CONFIGURATION_ROUTES)),
                    () -> configure(StandInFormats.Variant.USUAL));
            case 13 -> new Fault("version", this::changeWeightVersion, () -> {});
            case 14 -> new Fault("restart of " + upstream.id, upstream::restart, () -> {});
            default -> new Fault("drain of " + upstream.id, () -> drain(upstream), () -> {});
        };
    }

    private Fault drawCalmChange() {
        StandInFormats.Variant usual = StandInFormats.Variant.USUAL;
        return switch (random.nextInt(12)) {
            case 0, 1, 2 -> silence(StandInFormats.ENGINE_SERVICE);
            case 3, 4 -> silence(StandInFormats.PLAIN_SERVICE);
            case 5 -> change(
                    "idle limit", new StandInFormats.Variant(0, usual.timeoutMillis(), SHORT_IDLE_LIMIT_MILLIS, ""));
            case 6 -> change(
                    "time-out", new StandInFormats.Variant(0, SHORT_TIMEOUT_MILLIS, usual.idleLimitMillis(), ""));
            case 7 -> change(
                    "isolated team",
                    new StandInFormats.Variant(
                            0, usual.timeoutMillis(), usual.idleLimitMillis(), random.nextBoolean() ? "a" : "b"));
            case 8 -> new Fault("key rotation of a team", this::rotateKey, () -> {});
            case 9, 10 -> new Fault("versions", this::nameVersions, () -> {});
            default -> {
                NodeProcess node = nodes.get(random.nextInt(nodes.size()));
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

    private Fault change(String what, StandInFormats.Variant variant) {
        return new Fault(
                "change of the " + what, () -> configure(variant), () -> configure(StandInFormats.Variant.USUAL));
    }

    /** Lets all upstreams of a service, or all but one, fall silent. */
    private Fault silence(String service) {
        long millis = SILENCE_MILLIS + random.nextInt(SILENCE_RANGE_MILLIS);
        int skipped = random.nextInt(2);
        return new Fault(
                (skipped == 0 ? "silence of all " : "silence of most ") + service,
                () -> upstreams.stream()
                        .filter(upstream -> upstream.service.equals(service))
                        .skip(skipped)
                        .forEach(upstream -> upstream.server.fallSilent(millis)),
                () -> {});
    }

    private void nameVersions() {
        int count = 1 + random.nextInt(3);
        for (int index = 0; index < count; index++) {
            long pauseMillis = (long) index * random.nextInt(MAX_NAME_PAUSE_MILLIS);
            timer.schedule(this::changeWeightVersion, pauseMillis, TimeUnit.MILLISECONDS);
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
        FaultProxy.Mode mode = FaultProxy.Mode.values()[1 + random.nextInt(FaultProxy.Mode.values().length - 1)];
        return new Fault(
                mode + " on the " + what, () -> proxy.setMode(mode), () -> proxy.setMode(FaultProxy.Mode.OPEN));
    }

    private Fault metadataStoreFault() {
        StandInStore.Mode mode = StandInStore.Mode.values()[1 + random.nextInt(StandInStore.Mode.values().length - 1)];
        return new Fault(
                mode + " metadata store",
                () -> metadataStore.setMode(mode),
                () -> metadataStore.setMode(StandInStore.Mode.UP));
    }

    /** Terminates a node and starts it again; if it is already terminating, a second signal schedules no start. */
    private Fault termination(NodeProcess node, String signal) {
        boolean[] first = new boolean[1];
        return new Fault(signal + " " + node.name(), () -> first[0] = node.terminate(signal), () -> {
            if (first[0]) {
                restart(node);
            }
        });
    }

    private void restart(NodeProcess node) throws IOException, InterruptedException {
        long graceMillis = (BOUNDS.graceSeconds() + 1) * 1_000;
        boolean exited = node.awaitExit(graceMillis) || node.pausedWhileTerminating() && node.awaitExit(graceMillis);
        guarantees.check(exited, node.name() + " did not exit within its grace period");
        if (!exited) {
            node.destroy();
            node.awaitExit(graceMillis);
        }
        if (!stopped) {
            node.start();
        }
    }

    private synchronized void rotateKey() {
        String team = random.nextBoolean() ? "a" : "b";
        String old = keysByTeam.get(team).get(0);
        keysByTeam.put(team, List.of("key-" + team + "-" + configurationVersion));
        configure(StandInFormats.Variant.USUAL);
        guarantees.onRevoked(old);
    }

    private synchronized void changeWeightVersion() {
        weightVersion++;
        metadataStore.put(StandInFormats.VERSION_KEY, StandInFormats.namedVersion(weightVersion));
        guarantees.onVersionNamed(weightVersion);
    }

    private void drain(Upstream upstream) {
        upstream.register(true);
        guarantees.onLeaving(upstream.id);
        timer.schedule(upstream::restart, DRAIN_MILLIS * 2, TimeUnit.MILLISECONDS);
    }

    /** Reports nodes that exited while not being terminated and starts them again, as the platform does. */
    private void restartExitedNodes() throws IOException {
        for (NodeProcess node : nodes) {
            if (node.exitedUnexpectedly()) {
                guarantees.onUnexpectedExit(node.name());
                node.start();
            }
        }
    }

    private Outcome finish() throws IOException, InterruptedException {
        Thread.sleep(MAX_FAULT_MILLIS + (BOUNDS.graceSeconds() + 1) * 1_000);
        faultFree = true;
        metadataStoreProxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.OPEN));
        Thread.sleep(RECOVERY_MILLIS);
        GuaranteeChecker.Counts before = guarantees.counts();
        Thread.sleep(FINAL_MEASUREMENT_MILLIS);
        GuaranteeChecker.Counts after = guarantees.counts();
        stopped = true;
        double servedAtEnd = (after.served() - before.served()) / Math.max(1.0, after.sent() - before.sent());
        guarantees.check(
                servedAtEnd >= RECOVERED_SHARE,
                "share of requests served after recovery is " + servedAtEnd + ", expected " + RECOVERED_SHARE);
        restartExitedNodes();
        guarantees.checkRetryBudget();
        return new Outcome(
                guarantees.violations(),
                List.copyOf(faults),
                after.sent(),
                after.served(),
                after.rejected(),
                servedAtEnd);
    }

    private void stop() throws IOException {
        stopped = true;
        timer.shutdownNow();
        nodes.forEach(NodeProcess::destroy);
        for (FaultProxy proxy : metadataStoreProxies) {
            proxy.close();
        }
        for (Upstream upstream : upstreams) {
            upstream.proxy.close();
            upstream.server.stop();
        }
        metadataStore.stop();
        loops.dispose();
    }

    /** Finds consecutive free ports below the ephemeral port range, so that outgoing connections do not take them. */
    private int freePorts(int count) throws IOException {
        for (int tries = 0; tries < PORT_TRIES; tries++) {
            int first = FIRST_PORT + new Random().nextInt(LAST_PORT - FIRST_PORT - count);
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("found no " + count + " consecutive free ports in " + PORT_TRIES + " tries");
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                // The port is taken.
                return false;
            }
        }
        return true;
    }

    private static Thread newDaemonThread(Runnable work) {
        Thread thread = new Thread(work, "soak");
        thread.setDaemon(true);
        return thread;
    }
}
