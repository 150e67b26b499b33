package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the nodes that an address look-up names. Clients open connections to all named nodes alike, and drop their
 * connections to nodes that a later answer does not name, so the choice depends on the registrations alone.
 *
 * <p>The load patterns that this answers are a fleet of unequal VMs and its start with cold code: every node that takes
 * requests has to warm its code up and open connections to all upstreams by itself, and a slow VM needs seconds for that
 * in which its requests become late. So slow nodes are left out while the fast ones have enough capacity. Nodes that are
 * cut off from the upstreams are left out in the same way, because another node has to serve their requests.
 */
public final class LookupNodes {
    /** Largest number of addresses in an answer; stated by the platform. */
    static final int MAX_ADDRESSES = 64;

    /** Minimum number of nodes in an answer, so that the loss of one moves no more than a third of the clients. */
    static final int MIN_FAST_NODES = 3;

    /** Share of the fastest node's processor from which a node counts as fast. */
    static final double FAST_SHARE = 0.5;

    /** Share of the processors that the nodes that are named must have for the slow or cut-off ones to be left out. */
    static final double MIN_FAST_CAPACITY_SHARE = 0.3;

    /** With at least this many nodes in the client's data centre, an answer names only these. */
    static final int MIN_LOCAL_NODES = 2;

    private LookupNodes() {}

    /**
     * A registered node.
     *
     * @param name its name
     * @param address its address for clients as {@code IP:port}
     * @param dataCentre where it runs
     * @param processorCores processor time that it gets, in seconds of a reference core per second; zero if not known
     * @param cutOff true if it reaches no upstream, so that it passes its requests to other nodes
     */
    public record Node(String name, String address, String dataCentre, double processorCores, boolean cutOff) {}

    /**
     * Chooses the addresses of an answer.
     *
     * @param nodes the registered nodes
     * @param dataCentre the client's data centre
     * @return the addresses, in an order that does not depend on that of the nodes; empty if no node is registered
     */
    public static List<String> addresses(Collection<Node> nodes, String dataCentre) {
        List<Node> reaching = preferReaching(List.copyOf(nodes));
        List<Node> local = reaching.stream()
                .filter(node -> node.dataCentre().equals(dataCentre))
                .toList();
        List<Node> candidates = local.size() >= MIN_LOCAL_NODES ? local : reaching;
        return preferFast(candidates).stream()
                .sorted(Comparator.comparingDouble(Node::processorCores)
                        .reversed()
                        .thenComparing(Node::name))
                .limit(MAX_ADDRESSES)
                .map(Node::address)
                .toList();
    }

    // Nodes that are cut off still take connections off the others, so they are named while few others are left.
    private static List<Node> preferReaching(List<Node> nodes) {
        List<Node> reaching = nodes.stream().filter(node -> !node.cutOff()).toList();
        return hasCapacityFor(reaching, nodes) ? reaching : nodes;
    }

    private static boolean hasCapacityFor(List<Node> some, List<Node> all) {
        return !some.isEmpty() && capacity(some) >= MIN_FAST_CAPACITY_SHARE * capacity(all);
    }

    private static List<Node> preferFast(List<Node> nodes) {
        double fastest = nodes.stream().mapToDouble(Node::processorCores).max().orElse(0);
        List<Node> fast = nodes.stream()
                .filter(node -> node.processorCores() >= FAST_SHARE * fastest)
                .toList();
        boolean enough = fast.size() >= MIN_FAST_NODES && hasCapacityFor(fast, nodes);
        return enough ? fast : nodes;
    }

    private static double capacity(List<Node> nodes) {
        return nodes.stream().mapToDouble(Node::processorCores).sum();
    }
}
