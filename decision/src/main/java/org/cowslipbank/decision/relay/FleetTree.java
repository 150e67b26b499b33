package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cowslipbank.decision.hashing.Rendezvous;

/**
 * Topology over which the nodes of a fleet exchange state. Some nodes of each data centre are hubs: they query the
 * metadata store and the cache stores, forward the answers to the members of their group, collect the members'
 * in-flight load at upstreams, and exchange it with the other hubs. Thus the calls to the stores grow with the number
 * of hubs, the messages of a hub grow with the square root of the fleet size, and every node knows every load with a
 * delay of at most three rounds.
 *
 * <p>All nodes compute the same tree from the same registrations. While their registrations differ, loads are counted
 * twice or not at all until the affected digests expire.
 */
public final class FleetTree {
    /** Largest fleet in which every node is a hub and sends to all others; groups save nothing at this size. */
    static final int MAX_FLAT_FLEET_NODES = 9;

    /** A tree without nodes. */
    public static final FleetTree EMPTY = new FleetTree();

    private static final String HUB_HASH_KEY = "hubs";

    private final Map<String, List<String>> membersByHub = new TreeMap<>();
    private final Map<String, String> hubByNode = new HashMap<>();

    /**
     * A node of the fleet.
     *
     * @param name its name
     * @param dataCentre where it runs
     * @param linkBytesPerSecond bandwidth of its link in bytes per second; the fastest nodes become hubs
     */
    public record Node(String name, String dataCentre, long linkBytesPerSecond) {}

    private FleetTree() {}

    /**
     * Builds the tree of a fleet.
     *
     * @param nodes the registered nodes
     * @param maxHubs maximum number of hubs that the stores can serve; each data centre has at least one hub anyway
     * @return the tree
     */
    public static FleetTree of(Collection<Node> nodes, int maxHubs) {
        Map<String, List<Node>> byDataCentre = new TreeMap<>();
        for (Node node : nodes) {
            byDataCentre
                    .computeIfAbsent(node.dataCentre(), key -> new ArrayList<>())
                    .add(node);
        }
        FleetTree tree = new FleetTree();
        double idealGroupSize = nodes.size() <= MAX_FLAT_FLEET_NODES ? 1 : Math.sqrt(nodes.size());
        double groupSize = Math.max(idealGroupSize, nodes.size() / (double) Math.max(1, maxHubs));
        byDataCentre.values().forEach(nodesInDataCentre -> tree.addGroups(nodesInDataCentre, groupSize));
        return tree;
    }

    private void addGroups(List<Node> nodesInDataCentre, double groupSize) {
        int hubCount = (int) Math.max(1, nodesInDataCentre.size() / groupSize);
        List<Node> byLinkRate =
                new ArrayList<>(Rendezvous.top(HUB_HASH_KEY, nodesInDataCentre, Node::name, nodesInDataCentre.size()));
        byLinkRate.sort(Comparator.comparingLong(Node::linkBytesPerSecond).reversed());
        List<String> hubs = byLinkRate.stream().limit(hubCount).map(Node::name).toList();
        hubs.forEach(hub -> membersByHub.put(hub, new ArrayList<>()));
        for (Node node : nodesInDataCentre) {
            String name = node.name();
            String hub = hubs.contains(name)
                    ? name
                    : Rendezvous.owner(name, hubs, candidate -> candidate).orElseThrow();
            hubByNode.put(name, hub);
            if (!hub.equals(name)) {
                membersByHub.get(hub).add(name);
            }
        }
    }

    /**
     * Returns whether a node is a hub.
     *
     * @param node the node's name
     * @return true if the node is registered and a hub
     */
    public boolean isHub(String node) {
        return membersByHub.containsKey(node);
    }

    /**
     * Returns all hubs except the given one.
     *
     * @param hub name of the hub to leave out
     * @return names of the other hubs
     */
    public List<String> otherHubs(String hub) {
        return membersByHub.keySet().stream().filter(name -> !name.equals(hub)).toList();
    }

    /**
     * Returns the nodes that report to a hub.
     *
     * @param hub the hub's name
     * @return names of the members, without the hub itself
     */
    public List<String> members(String hub) {
        return List.copyOf(membersByHub.getOrDefault(hub, List.of()));
    }

    /**
     * Returns the hub to which a node reports.
     *
     * @param node the node's name
     * @return the hub's name; the node's own name if it is a hub or not registered
     */
    public String hubOf(String node) {
        return hubByNode.getOrDefault(node, node);
    }
}
