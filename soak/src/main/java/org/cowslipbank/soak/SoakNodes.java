package org.cowslipbank.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStore;

/** The nodes of a soak test, each a process with a proxy in its way to the metadata store. */
final class SoakNodes {
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final long START_POLL_MILLIS = 150;
    private static final int PORTS_PER_NODE = 6;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    private static final int BLOCK_PORTS = 500;
    private static final int PORT_TRIES = 200;

    /** Time for which a node that was out of step may still have read nothing since. */
    private static final long OUT_OF_STEP_MILLIS = 500;

    /** The port at which a node takes requests of clients. */
    record ClientPort(String node, int number) {}

    private final StandInFormats.Bounds bounds;
    private final GuaranteeChecker guarantees;
    private final StandInStore metadataStore;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Integer> clientPorts = new ArrayList<>();
    private final List<FaultProxy> metadataStoreProxies = new ArrayList<>();
    private final Map<Integer, Long> outOfStepMillis = new ConcurrentHashMap<>();
    private ServerSocket reservation;
    private volatile boolean stopped;

    SoakNodes(StandInFormats.Bounds bounds, StandInStore metadataStore, GuaranteeChecker guarantees) {
        this.bounds = bounds;
        this.metadataStore = metadataStore;
        this.guarantees = guarantees;
    }

    /** Starts the nodes and waits until they listen. */
    void start(SoakRun.Plan plan) throws IOException, InterruptedException {
        int port = reservePorts(plan.nodes() * PORTS_PER_NODE);
        for (int index = 0; index < plan.nodes(); index++) {
            FaultProxy proxy = new FaultProxy(metadataStore.port());
            metadataStoreProxies.add(proxy);
            int first = port + index * PORTS_PER_NODE;
            clientPorts.add(first);
            byte[] settings = StandInFormats.settings("n" + index, first, proxy.port(), bounds);
            List<List<String>> programs = new ArrayList<>(plan.programs());
            Collections.rotate(programs, index);
            NodeProcess node = new NodeProcess("n" + index, plan.directory(), settings, programs);
            nodes.add(node);
            startProcess(node);
        }
        long untilMillis = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        for (int client : clientPorts) {
            while (!accepts(client) && System.currentTimeMillis() < untilMillis) {
                Thread.sleep(START_POLL_MILLIS);
            }
        }
    }

    private void startProcess(NodeProcess node) throws IOException {
        node.start();
        guarantees.onDisturbed(node.name());
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            // The node is not listening yet.
            return false;
        }
    }

    int count() {
        return nodes.size();
    }

    NodeProcess node(int index) {
        return nodes.get(index);
    }

    /** Returns the proxy between a node and the metadata store. */
    FaultProxy toMetadataStore(int index) {
        return metadataStoreProxies.get(index);
    }

    List<FaultProxy> proxies() {
        return metadataStoreProxies;
    }

    ClientPort clientPort(Random random) {
        int index = random.nextInt(clientPorts.size());
        return new ClientPort(nodes.get(index).name(), clientPorts.get(index));
    }

    int clientPort(int index) {
        return clientPorts.get(index);
    }

    /** Kills all nodes at once, and returns those that were not being terminated. */
    List<NodeProcess> killAll() {
        return nodes.stream().filter(NodeProcess::kill).toList();
    }

    /** Returns the index of the node that leads, as the metadata store says. */
    Optional<Integer> leader() {
        return metadataStore.leader().flatMap(name -> {
            for (int index = 0; index < nodes.size(); index++) {
                if (nodes.get(index).name().equals(name)) {
                    return Optional.of(index);
                }
            }
            return Optional.empty();
        });
    }

    /** Reports the nodes that are out of touch with the metadata store: cut off from it or suspended. */
    void reportDisturbed() {
        boolean isStoreUp = metadataStore.mode() == StandInStore.Mode.UP;
        for (int index = 0; index < nodes.size(); index++) {
            NodeProcess node = nodes.get(index);
            if (!isStoreUp
                    || node.suspended()
                    || metadataStoreProxies.get(index).isFaulty()) {
                guarantees.onDisturbed(node.name());
                if (isStoreUp) {
                    outOfStepMillis.put(index, System.currentTimeMillis());
                }
            }
        }
    }

    /** Draws one of the nodes that are out of touch with the metadata store, or were a moment ago, while it was up. */
    Optional<Integer> drawOutOfStep(Random random) {
        long sinceMillis = System.currentTimeMillis() - OUT_OF_STEP_MILLIS;
        List<Integer> candidates = outOfStepMillis.entrySet().stream()
                .filter(entry -> entry.getValue() >= sinceMillis)
                .map(Map.Entry::getKey)
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Waits for a node that was terminated and starts it again. */
    void restart(NodeProcess node) throws IOException, InterruptedException {
        long graceMillis = (bounds.graceSeconds() + 1) * 1_000;
        boolean exited = node.awaitExit(graceMillis) || node.pausedWhileTerminating() && node.awaitExit(graceMillis);
        guarantees.check(exited, node.name() + " did not exit within its grace period");
        if (!exited) {
            node.destroy();
            node.awaitExit(graceMillis);
        }
        if (!stopped) {
            startProcess(node);
        }
    }

    /** Reports nodes that exited while not being terminated and starts them again, as the platform does. */
    void restartExited() throws IOException {
        for (NodeProcess node : nodes) {
            if (node.exitedUnexpectedly()) {
                guarantees.onUnexpectedExit(node.name());
                startProcess(node);
            }
        }
    }

    void destroy() {
        nodes.forEach(NodeProcess::destroy);
    }

    void stop() throws IOException {
        stopped = true;
        destroy();
        for (FaultProxy proxy : metadataStoreProxies) {
            proxy.close();
        }
        if (reservation != null) {
            reservation.close();
        }
    }

    /**
     * Finds a block of free ports below the ephemeral port range, so that outgoing connections do not take them. Its first port is
     * held until the end: the others are free while nodes are down, and another soak must not take them then.
     */
    private int reservePorts(int count) throws IOException {
        for (int tries = 0; tries < PORT_TRIES && count < BLOCK_PORTS; tries++) {
            int first = FIRST_PORT + BLOCK_PORTS * new Random().nextInt((LAST_PORT - FIRST_PORT) / BLOCK_PORTS);
            if (areFree(first, count + 1)) {
                reservation = new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
                return first + 1;
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
}
