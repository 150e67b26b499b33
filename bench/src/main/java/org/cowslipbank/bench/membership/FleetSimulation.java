package org.cowslipbank.bench.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

import org.cowslipbank.decision.membership.FleetEffect;
import org.cowslipbank.decision.membership.FleetEvent;
import org.cowslipbank.decision.membership.FleetView;
import org.cowslipbank.decision.membership.ListedNode;
import org.cowslipbank.decision.membership.Membership;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.MembershipState;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.membership.Packet;
import org.cowslipbank.entry.fleet.FleetMessages;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.peer.MessageCodec;

/**
 * Simulates a fleet in one process: the membership state machines of all nodes, a virtual clock, the real message codec
 * and a rule that drops messages.
 */
final class FleetSimulation {
    /** Virtual wall-clock time of the start; a realistic value, so that encoded incarnations have their real size. */
    static final long START_MILLIS = 1_790_000_000_000L;

    private static final int TICK_MILLIS = 100;
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long DATA_CENTRE_LATENCY_MILLIS = 1;
    private static final long REGION_LATENCY_MILLIS = 2;
    private static final long CROSS_REGION_LATENCY_MILLIS = 60;

    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<VmId, Node> byVm = new HashMap<>();
    private final SplittableRandom random;
    private final FleetEvent.NodesListed nodeList;
    private final MembershipSettings settings;
    private LossRule lossRule = LossRule.NONE;
    private long nowMillis = START_MILLIS;
    private long nextEventNumber;

    /**
     * Creates a fleet whose nodes all start with the complete node list.
     *
     * @param count number of nodes
     * @param dataCentres number of data centres; the first half, rounded up, is region 0
     * @param settings settings of the membership protocol
     * @param seed seed of all random choices
     */
    FleetSimulation(int count, int dataCentres, MembershipSettings settings, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        List<NodeAddress> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int dataCentre = i % dataCentres;
            String name = "r" + region(dataCentre, dataCentres) + "-dc" + dataCentre;
            String address = "10." + dataCentre + ".0." + i % 250 + ":7400";
            addresses.add(new NodeAddress(new VmId(name + "-entry-" + i), new DataCentreId(name), address, 8080));
        }
        nodeList = new FleetEvent.NodesListed(
                addresses.stream().map(node -> new ListedNode(node, false)).toList());
        for (NodeAddress address : addresses) {
            Node node = new Node(address, Membership.initialState(settings, address, nowMillis, nowMillis));
            nodes.add(node);
            byVm.put(address.vm(), node);
            node.step(nodeList);
            node.scheduleTick(nowMillis + random.nextInt(TICK_MILLIS));
        }
    }

    private static int region(int dataCentre, int dataCentres) {
        return dataCentre < (dataCentres + 1) / 2 ? 0 : 1;
    }

    List<Node> nodes() {
        return nodes;
    }

    List<Node> running() {
        return nodes.stream().filter(node -> node.running).toList();
    }

    long nowMillis() {
        return nowMillis;
    }

    int random(int bound) {
        return random.nextInt(bound);
    }

    void setLossRule(LossRule rule) {
        lossRule = rule;
    }

    /** Schedules an action at a virtual time. */
    void at(long timeMillis, Runnable action) {
        schedule(timeMillis, action);
    }

    void runFor(long millis) {
        runUntil(nowMillis + millis);
    }

    private void runUntil(long endMillis) {
        while (!queue.isEmpty() && queue.peek().timeMillis <= endMillis) {
            Event event = queue.poll();
            nowMillis = event.timeMillis;
            event.action.run();
        }
        nowMillis = endMillis;
    }

    /**
     * Runs until a condition holds; it is checked every tick.
     *
     * @param condition the condition
     * @param limitMillis longest virtual time to run
     * @return the virtual time it took in milliseconds, or the limit plus one if the condition does not hold by then
     */
    long runUntil(BooleanSupplier condition, long limitMillis) {
        long startMillis = nowMillis;
        while (nowMillis - startMillis <= limitMillis) {
            if (condition.getAsBoolean()) {
                return nowMillis - startMillis;
            }
            runUntil(nowMillis + TICK_MILLIS);
        }
        return limitMillis + 1;
    }

    private void schedule(long timeMillis, Runnable action) {
        queue.add(new Event(timeMillis, nextEventNumber++, action));
    }

    private static long latencyMillis(NodeAddress from, NodeAddress to) {
        String source = from.dataCentre().value();
        String target = to.dataCentre().value();
        if (source.equals(target)) {
            return DATA_CENTRE_LATENCY_MILLIS;
        }
        return source.substring(0, 2).equals(target.substring(0, 2))
                ? REGION_LATENCY_MILLIS
                : CROSS_REGION_LATENCY_MILLIS;
    }

    Node find(VmId vm) {
        return byVm.get(vm);
    }

    private record Event(long timeMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(timeMillis, other.timeMillis);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    /** A simulated node with its traffic and CPU counters. */
    final class Node {
        private final NodeAddress address;
        private MembershipState state;
        private FleetView view;
        private boolean running = true;
        private long pausedUntilMillis;
        private long sentBytes;
        private long receivedBytes;
        private long messages;
        private long cpuNanos;
        private int confirmationLosses;
        private int processEpoch;

        private Node(NodeAddress address, MembershipState state) {
            this.address = address;
            this.state = state;
        }

        NodeAddress address() {
            return address;
        }

        MembershipState state() {
            return state;
        }

        FleetView view() {
            view = view == null ? FleetView.of(state) : FleetView.of(state, view);
            return view;
        }

        boolean isRunning() {
            return running;
        }

        boolean isConfirmed() {
            return state.isConfirmed() && nowMillis <= state.validUntilMillis();
        }

        long sentBytes() {
            return sentBytes;
        }

        long receivedBytes() {
            return receivedBytes;
        }

        long messages() {
            return messages;
        }

        long cpuNanos() {
            return cpuNanos;
        }

        int confirmationLosses() {
            return confirmationLosses;
        }

        void resetCounters() {
            sentBytes = 0;
            receivedBytes = 0;
            messages = 0;
            cpuNanos = 0;
        }

        void kill() {
            running = false;
        }

        /** Replaces the node by a new process at the same address that knows only the node list. */
        void restart() {
            processEpoch++;
            running = true;
            state = Membership.initialState(settings, address, nowMillis, nowMillis);
            view = null;
            step(nodeList);
            scheduleTick(nowMillis);
        }

        /** Pauses the node for a time; messages that arrive meanwhile are processed when it resumes. */
        void pause(long millis) {
            pausedUntilMillis = nowMillis + millis;
        }

        private void scheduleTick(long timeMillis) {
            int scheduledEpoch = processEpoch;
            schedule(timeMillis, () -> tick(scheduledEpoch));
        }

        private void tick(int scheduledEpoch) {
            if (!running || scheduledEpoch != processEpoch) {
                return;
            }
            if (nowMillis < pausedUntilMillis) {
                scheduleTick(pausedUntilMillis);
                return;
            }
            step(new FleetEvent.Tick());
            scheduleTick(nowMillis + TICK_MILLIS);
        }

        void step(FleetEvent event) {
            long startNanos = System.nanoTime();
            Membership.Outcome outcome = Membership.apply(state, event, nowMillis, random.nextLong());
            cpuNanos += System.nanoTime() - startNanos;
            state = outcome.state();
            outcome.effects().forEach(this::perform);
        }

        private void perform(FleetEffect effect) {
            if (effect instanceof FleetEffect.ConfirmationLost) {
                confirmationLosses++;
            }
            if (!(effect instanceof FleetEffect.Send send)) {
                return;
            }
            long startNanos = System.nanoTime();
            byte[] payload = MessageCodec.encode(FleetMessages.toMessage(send.packet()));
            cpuNanos += System.nanoTime() - startNanos;
            sentBytes += payload.length + FRAME_HEADER_BYTES;
            messages++;
            if (lossRule.loses(address, send.to(), random)) {
                return;
            }
            Node receiver = find(send.to().vm());
            schedule(nowMillis + latencyMillis(address, send.to()), () -> receiver.receive(address, payload));
        }

        private void receive(NodeAddress from, byte[] payload) {
            if (!running) {
                return;
            }
            if (nowMillis < pausedUntilMillis) {
                schedule(pausedUntilMillis, () -> receive(from, payload));
                return;
            }
            receivedBytes += payload.length + FRAME_HEADER_BYTES;
            messages++;
            step(new FleetEvent.Received(from, decode(payload)));
        }

        private Packet decode(byte[] payload) {
            long startNanos = System.nanoTime();
            try {
                return FleetMessages.toPacket(MessageCodec.decode(payload)).orElseThrow();
            } catch (IOException e) {
                throw new UncheckedIOException("node " + address.vm() + " cannot decode a message", e);
            } finally {
                cpuNanos += System.nanoTime() - startNanos;
            }
        }
    }
}
