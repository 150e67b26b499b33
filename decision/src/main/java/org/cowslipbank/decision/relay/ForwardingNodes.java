package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.hashing.Rendezvous;

/**
 * Chooses the node to which a node that is cut off from the upstreams passes a request.
 *
 * <p>Load pattern: a few nodes have to serve the requests of many for seconds. The requests are spread by the processors
 * of these nodes, and stay in the data centre while its nodes have no more than twice the load, because bytes between data
 * centres are expensive. A node that could not be reached or could not take a request is avoided for a while.
 * Confined to the traffic thread.
 */
public final class ForwardingNodes {
    /** Time for which a node is left out after it could not take a request. */
    static final long AVOIDED_MILLIS = 500;

    /** Factor by which the load of a node in the same data centre may exceed that of a remote one. */
    static final double REMOTE_LOAD_FACTOR = 2;

    /** Processor share assumed for a node that does not state its own. */
    private static final double UNKNOWN_CORES = 1;

    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();

    /**
     * A node that may take requests.
     *
     * @param name its name
     * @param address its address for requests of other nodes as {@code IP:port}
     * @param dataCentre where it runs
     * @param processorCores processor time that it gets, in seconds of a reference core per second; zero if not known
     */
    public record Node(String name, String address, String dataCentre, double processorCores) {}

    /**
     * Chooses a node.
     *
     * @param nodes the other nodes that reach the upstreams as far as is known
     * @param dataCentre this node's data centre
     * @param tried names of nodes to which the request was passed before
     * @param key key that spreads requests among equal nodes
     * @param nowMillis the time in milliseconds
     * @return the node, or empty if none is left
     */
    public Optional<Node> choose(
            Collection<Node> nodes, String dataCentre, Set<String> tried, String key, long nowMillis) {
        Comparator<Node> avoidedLast = Comparator.comparing(node -> isAvoided(node, nowMillis));
        return nodes.stream()
                .filter(node -> !tried.contains(node.name()))
                .min(avoidedLast
                        .thenComparingDouble(node -> weightedLoad(node, dataCentre))
                        .thenComparingLong(node -> Rendezvous.hash(key + node.name())));
    }

    private boolean isAvoided(Node node, long nowMillis) {
        return nowMillis < avoidedUntilMillis.getOrDefault(node.name(), Long.MIN_VALUE);
    }

    private double weightedLoad(Node node, String dataCentre) {
        return loadWithOneMore(node) * (node.dataCentre().equals(dataCentre) ? 1 : REMOTE_LOAD_FACTOR);
    }

    private double loadWithOneMore(Node node) {
        double cores = node.processorCores() > 0 ? node.processorCores() : UNKNOWN_CORES;
        return (inFlight.getOrDefault(node.name(), 0) + 1) / cores;
    }

    /**
     * Records that a request is passed to a node.
     *
     * @param name the node's name
     */
    public void onSent(String name) {
        inFlight.merge(name, 1, Integer::sum);
    }

    /**
     * Records the end of a request that was passed to a node.
     *
     * @param name the node's name
     */
    public void onEnded(String name) {
        inFlight.computeIfPresent(name, (key, requests) -> requests > 1 ? requests - 1 : null);
    }

    /**
     * Records that a node could not take a request.
     *
     * @param name the node's name
     * @param nowMillis the time in milliseconds
     */
    public void onUnable(String name, long nowMillis) {
        avoidedUntilMillis.put(name, nowMillis + AVOIDED_MILLIS);
    }

    /**
     * Forgets nodes that are no longer registered.
     *
     * @param names the registered nodes
     */
    public void retain(Set<String> names) {
        avoidedUntilMillis.keySet().retainAll(names);
    }
}
