package org.cowslipbank.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
 * One soak: real nodes as processes, disturbed from outside as the seed says, while clients and upstreams check the
 * promises. Faults come at any time and overlap; each ends by itself, and the soak ends with a calm stretch.
 */
public final class SoakRun {
    private static final StandInFormats.Bounds BOUNDS = new StandInFormats.Bounds(5_000, 3_000, 8, 10_000);
    private static final long DRAIN_MILLIS = 3_000;
    private static final long READY_MILLIS = 20_000;
    /** Time after the last fault within which requests are served again, from the platform's sheets. */
    private static final long RECOVER_MILLIS = 15_000;
    /** Share of the requests that are served then, from the platform's rules. */
    private static final double RECOVERED_SHARE = 0.25;

    private static final long LAST_STRETCH_MILLIS = 3_000;
    private static final int PORTS_PER_NODE = 5;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    private static final int CLIENTS_PER_NODE = 4;
    /** Faults that may be waiting for a node to end at a time. */
    private static final int TIMERS = 16;

    /** Share of the requests that upstreams reject, fail or break off. */
    private static final double FAILING_SHARE = 0.06;

    /** Requests, on average, after which a client looks for its team's present key. */
    private static final int REQUESTS_PER_KEY = 40;

    private static final int PORT_TRIES = 200;
    private static final int UPSTREAMS_PER_SERVICE = 3;
    private static final int MIN_GAP_MILLIS = 150;
    private static final int MAX_GAP_MILLIS = 1_800;
    private static final int MAX_FAULT_MILLIS = 4_000;
    private static final int LONG_CONFIGURATION_ROUTES = 800;

    /**
     * What to play.
     *
     * @param seed decides about faults and requests
     * @param seconds time with faults, in seconds
     * @param nodes number of nodes
     * @param program arguments of the JVM that name the program
     * @param directory where settings and logs of the nodes are kept
     */
    public record Plan(long seed, long seconds, int nodes, List<String> program, Path directory) {}

    /**
     * What came of it.
     *
     * @param violations broken promises
     * @param faults faults that were played, with their times
     * @param asked requests that clients sent
     * @param served requests answered with success
     * @param refused requests that were rejected with a promise
     * @param servedAtEnd share of the requests of the last calm seconds that were served
     */
    public record Outcome(
            List<String> violations, List<String> faults, long asked, long served, long refused, double servedAtEnd) {
        /**
         * Tells whether every promise held.
         *
         * @return true if so
         */
        public boolean held() {
            return violations.isEmpty();
        }
    }

    /** An upstream with the proxy at which it is registered. */
    private final class Upstream {
        private final String service;
        private final FaultProxy proxy;
        private StandInUpstream server;
        private String id;
        private long bornMillis;

        Upstream(String service) throws IOException {
            this.service = service;
            this.proxy = new FaultProxy(0);
            start(1);
        }

        private void start(long version) {
            bornMillis = System.currentTimeMillis();
            id = "i-" + service + "-" + Long.toHexString(random.nextLong());
            server = new StandInUpstream(id, 0, version, observer(this), loops);
            proxy.setTarget(server.port());
            register(false);
        }

        private void register(boolean draining) {
            Map.Entry<String, String> item = server.registration(service, draining, proxy.port(), bornMillis);
            store.put(item.getKey(), item.getValue());
        }

        private void replace() {
            server.stop();
            store.remove(StandInFormats.registrationKey(id));
            start(server.version());
        }
    }

    private final Plan plan;
    private final Random random;
    private final Consumer<String> progress;
    private final LoopResources loops = LoopResources.create("soak", 2, true);
    private final StandInStore store = new StandInStore(loops);
    private final Ledger ledger = new Ledger(BOUNDS, DRAIN_MILLIS, System::currentTimeMillis);
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMERS, SoakRun::daemon);
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Integer> clientPorts = new ArrayList<>();
    private final List<FaultProxy> storeProxies = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, List<String>> keysByTeam = new HashMap<>();
    private volatile boolean stopped;
    private volatile boolean calm;
    private volatile Client.Caller[] callers;
    private long configurationVersion;
    private long weightVersion = 1;

    /** What upstreams do with requests, and whom they tell. */
    private StandInUpstream.Observer observer(Upstream upstream) {
        return new StandInUpstream.Observer() {
            @Override
            public StandInUpstream.Fate onRun(StandInUpstream.Run run) {
                StandInUpstream.Fate fate = fate();
                if (fate != StandInUpstream.Fate.REJECTED) {
                    ledger.onRun(run);
                }
                return fate;
            }

            @Override
            public void onOrder(StandInUpstream.Order order) {
                ledger.onOrder(order);
            }

            @Override
            public void onLoaded(long version) {
                upstream.register(false);
            }
        };
    }

    /**
     * Prepares a soak.
     *
     * @param plan what to play
     * @param progress told of each fault
     */
    public SoakRun(Plan plan, Consumer<String> progress) {
        this.plan = plan;
        this.random = new Random(plan.seed());
        this.progress = progress;
    }

    private StandInUpstream.Fate fate() {
        // Not from the seed: the order in which requests arrive differs in each run.
        ThreadLocalRandom draw = ThreadLocalRandom.current();
        if (calm || draw.nextDouble() >= FAILING_SHARE) {
            return StandInUpstream.Fate.ANSWERED;
        }
        StandInUpstream.Fate[] fates = StandInUpstream.Fate.values();
        return fates[1 + draw.nextInt(fates.length - 1)];
    }

    /**
     * Plays the soak.
     *
     * @return what came of it
     * @throws IOException if a process or listener cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public Outcome play() throws IOException, InterruptedException {
        // A soak that is interrupted leaves no node behind.
        Thread cleanup = new Thread(() -> nodes.forEach(NodeProcess::destroy), "soak-cleanup");
        Runtime.getRuntime().addShutdownHook(cleanup);
        try {
            prepare();
            startClients();
            long endMillis = System.currentTimeMillis() + plan.seconds() * 1_000;
            while (System.currentTimeMillis() < endMillis) {
                Thread.sleep(MIN_GAP_MILLIS + random.nextInt(MAX_GAP_MILLIS - MIN_GAP_MILLIS));
                playFault();
                watchProcesses();
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
        configure(0);
        for (int index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
            upstreams.add(new Upstream(StandInFormats.PLAIN_SERVICE));
            upstreams.add(new Upstream(StandInFormats.ENGINE_SERVICE));
        }
        int port = freePorts(plan.nodes() * PORTS_PER_NODE);
        for (int index = 0; index < plan.nodes(); index++) {
            FaultProxy proxy = new FaultProxy(store.port());
            storeProxies.add(proxy);
            int first = port + index * PORTS_PER_NODE;
            clientPorts.add(first);
            byte[] settings = StandInFormats.settings("n" + index, first, proxy.port(), BOUNDS);
            NodeProcess node = new NodeProcess("n" + index, plan.directory(), settings, plan.program());
            nodes.add(node);
            node.start();
        }
        long untilMillis = System.currentTimeMillis() + READY_MILLIS;
        for (int client : clientPorts) {
            while (!accepts(client) && System.currentTimeMillis() < untilMillis) {
                Thread.sleep(MIN_GAP_MILLIS);
            }
        }
    }

    private static boolean accepts(int port) {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            // Not yet.
            return false;
        }
    }

    private synchronized void configure(int idleRoutes) {
        configurationVersion += 1 + random.nextInt(3);
        store.put(
                StandInFormats.CONFIGURATION_KEY,
                StandInFormats.configuration(configurationVersion, keysByTeam, idleRoutes));
        callers = keysByTeam.entrySet().stream()
                .map(entry -> new Client.Caller(entry.getKey(), entry.getValue().get(0)))
                .toArray(Client.Caller[]::new);
    }

    private void startClients() {
        for (int index = 0; index < plan.nodes() * CLIENTS_PER_NODE; index++) {
            Random own = new Random(plan.seed() * 31 + index);
            Client.Caller[] kept = {callers[0]};
            Client client = new Client(
                    ledger,
                    own,
                    () -> {
                        // A client learns of a new key a while later, and goes on with the old one until then.
                        if (own.nextInt(REQUESTS_PER_KEY) == 0) {
                            kept[0] = callers[own.nextInt(callers.length)];
                        }
                        return kept[0];
                    },
                    () -> clientPorts.get(own.nextInt(clientPorts.size())),
                    () -> stopped);
            daemon(client).start();
        }
    }

    /** One fault, with how it is named and how it ends. */
    private record Fault(String name, Action begin, Action end) {}

    /** A step of a fault. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private void playFault() {
        long lastsMillis = MIN_GAP_MILLIS + random.nextInt(MAX_FAULT_MILLIS);
        Fault fault = draw();
        String line = System.currentTimeMillis() + " " + fault.name() + " for " + lastsMillis + " ms";
        faults.add(line);
        progress.accept(line);
        run(fault.begin(), fault.name());
        timer.schedule(() -> run(fault.end(), fault.name()), lastsMillis, TimeUnit.MILLISECONDS);
    }

    private void run(Action action, String name) {
        ledger.onFault();
        try {
            action.run();
        } catch (IOException e) {
            ledger.check(false, "the soak could not play " + name + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Fault draw() {
        int index = random.nextInt(nodes.size());
        NodeProcess node = nodes.get(index);
        FaultProxy toStore = storeProxies.get(index);
        Upstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        String at = " " + node.name();
        return switch (random.nextInt(16)) {
            case 0, 1 -> new Fault("pause" + at, () -> node.signal("STOP"), () -> node.signal("CONT"));
            case 2, 3 -> ending(node, "KILL");
            case 4, 5 -> ending(node, "TERM");
            case 6 -> new Fault("reload" + at, () -> node.signal("HUP"), () -> {});
            case 7 -> proxyFault("way to the store" + at, toStore);
            case 8 -> proxyFault("way to " + upstream.id, upstream.proxy);
            case 9 -> storeFault();
            case 10 -> new Fault("compaction", store::compact, () -> {});
            case 11 -> new Fault("key of a team", this::rotateKey, () -> {});
            case 12 -> new Fault("long configuration", () -> configure(LONG_CONFIGURATION_ROUTES), () -> configure(0));
            case 13 -> new Fault("version", this::nameVersion, () -> {});
            case 14 -> new Fault("restart of " + upstream.id, upstream::replace, () -> {});
            default -> new Fault("leaving of " + upstream.id, () -> leave(upstream), () -> {});
        };
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

    private Fault storeFault() {
        StandInStore.Mode mode = StandInStore.Mode.values()[1 + random.nextInt(StandInStore.Mode.values().length - 1)];
        return new Fault(mode + " store", () -> store.setMode(mode), () -> store.setMode(StandInStore.Mode.UP));
    }

    /** Ends a node and starts it again; a second signal while it ends changes only how it ends. */
    private Fault ending(NodeProcess node, String signal) {
        boolean[] first = new boolean[1];
        return new Fault(signal + " " + node.name(), () -> first[0] = node.end(signal), () -> {
            if (first[0]) {
                restart(node);
            }
        });
    }

    private void restart(NodeProcess node) throws IOException, InterruptedException {
        long graceMillis = (BOUNDS.graceSeconds() + 1) * 1_000;
        boolean ended = node.awaitEnd(graceMillis) || node.pausedWhileEnding() && node.awaitEnd(graceMillis);
        ledger.check(ended, node.name() + " did not end within its grace period");
        if (!ended) {
            node.destroy();
            node.awaitEnd(graceMillis);
        }
        if (!stopped) {
            node.start();
        }
    }

    private synchronized void rotateKey() {
        String team = random.nextBoolean() ? "a" : "b";
        String old = keysByTeam.get(team).get(0);
        keysByTeam.put(team, List.of("key-" + team + "-" + configurationVersion));
        configure(0);
        ledger.onRevoked(old);
    }

    private synchronized void nameVersion() {
        weightVersion++;
        store.put(StandInFormats.VERSION_KEY, StandInFormats.namedVersion(weightVersion));
    }

    private void leave(Upstream upstream) {
        upstream.register(true);
        ledger.onLeaving(upstream.id);
        timer.schedule(upstream::replace, DRAIN_MILLIS * 2, TimeUnit.MILLISECONDS);
    }

    /** Notes processes that ended by themselves and starts them again, as the platform does. */
    private void watchProcesses() throws IOException {
        for (NodeProcess node : nodes) {
            if (node.endedByItself()) {
                ledger.onEnded(node.name());
                node.start();
            }
        }
    }

    private Outcome finish() throws IOException, InterruptedException {
        Thread.sleep(MAX_FAULT_MILLIS + (BOUNDS.graceSeconds() + 1) * 1_000);
        calm = true;
        storeProxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.OPEN));
        Thread.sleep(RECOVER_MILLIS);
        Ledger.Counts before = ledger.counts();
        Thread.sleep(LAST_STRETCH_MILLIS);
        Ledger.Counts after = ledger.counts();
        stopped = true;
        double servedAtEnd = (after.served() - before.served()) / Math.max(1.0, after.asked() - before.asked());
        ledger.check(servedAtEnd >= RECOVERED_SHARE, "only " + servedAtEnd + " of the requests are served at the end");
        watchProcesses();
        return new Outcome(
                ledger.violations(), List.copyOf(faults), after.asked(), after.served(), after.refused(), servedAtEnd);
    }

    private void stop() throws IOException {
        stopped = true;
        timer.shutdownNow();
        nodes.forEach(NodeProcess::destroy);
        for (FaultProxy proxy : storeProxies) {
            proxy.close();
        }
        for (Upstream upstream : upstreams) {
            upstream.proxy.close();
            upstream.server.stop();
        }
        store.stop();
        loops.dispose();
    }

    /** Finds neighbouring free ports, below the range from which the system takes those of outgoing connections. */
    private int freePorts(int count) throws IOException {
        for (int tries = 0; tries < PORT_TRIES; tries++) {
            int first = FIRST_PORT + new Random().nextInt(LAST_PORT - FIRST_PORT - count);
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                // Taken.
                return false;
            }
        }
        return true;
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "soak");
        thread.setDaemon(true);
        return thread;
    }
}
