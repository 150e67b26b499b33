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
 * Who tells whom in a fleet. Some nodes of each data centre are hubs: they ask the metadata store and the cache stores,
 * pass on what these answer to the members of their group, gather what the members have in flight at upstreams, and
 * exchange it with the other hubs. Calls to the stores then grow with the number of hubs, a hub's messages with the
 * square root of the fleet, and every node knows every load three rounds old at most.
 *
 * <p>All nodes compute the same tree from the same registrations. While these differ for a moment, loads are counted
 * twice or not at all until the digests concerned expire.
 */
public final class FleetTree {
    /** Largest fleet in which each node tells every other one; groups save nothing there. */
    static final int FLAT_NODES = 9;

    /** A tree without nodes. */
    public static final FleetTree EMPTY = new FleetTree();

    private static final String HUBS = "hubs";

    private final Map<String, List<String>> membersByHub = new TreeMap<>();
    private final Map<String, String> hubByNode = new HashMap<>();

    /**
     * A node of the fleet.
     *
     * @param name its name
     * @param dataCentre where it runs
     * @param linkBytesPerSecond rate of its link in bytes a second; hubs are chosen among the fastest
     */
    public record Node(String name, String dataCentre, long linkBytesPerSecond) {}

    private FleetTree() {}

    /**
     * Builds the tree of a fleet.
     *
     * @param nodes the registered nodes
     * @param mostHubs the most hubs that the stores can serve; each data centre has one hub at least
     * @return the tree
     */
    public static FleetTree of(Collection<Node> nodes, int mostHubs) {
        Map<String, List<Node>> byDataCentre = new TreeMap<>();
        for (Node node : nodes) {
            byDataCentre
                    .computeIfAbsent(node.dataCentre(), key -> new ArrayList<>())
                    .add(node);
        }
        FleetTree tree = new FleetTree();
        double wanted = nodes.size() <= FLAT_NODES ? 1 : Math.sqrt(nodes.size());
        double groupSize = Math.max(wanted, nodes.size() / (double) Math.max(1, mostHubs));
        byDataCentre.values().forEach(near -> tree.addGroups(near, groupSize));
        return tree;
    }

    private void addGroups(List<Node> near, double groupSize) {
        int count = (int) Math.max(1, near.size() / groupSize);
        List<Node> order = new ArrayList<>(Rendezvous.top(HUBS, near, Node::name, near.size()));
        order.sort(Comparator.comparingLong(Node::linkBytesPerSecond).reversed());
        List<String> hubs = order.stream().limit(count).map(Node::name).toList();
        hubs.forEach(hub -> membersByHub.put(hub, new ArrayList<>()));
        for (Node node : near) {
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
     * Tells whether a node is a hub.
     *
     * @param node the node's name
     * @return true if it is
     */
    public boolean isHub(String node) {
        return membersByHub.containsKey(node);
    }

    /**
     * Returns the other hubs.
     *
     * @param hub a hub's name
     * @return their names
     */
    public List<String> otherHubs(String hub) {
        return membersByHub.keySet().stream().filter(name -> !name.equals(hub)).toList();
    }

    /**
     * Returns the nodes that report to a hub.
     *
     * @param hub the hub's name
     * @return their names, without the hub
     */
    public List<String> members(String hub) {
        return List.copyOf(membersByHub.getOrDefault(hub, List.of()));
    }

    /**
     * Returns the hub to which a node reports.
     *
     * @param node the node's name
     * @return the hub's name, the node's own if it is a hub or not registered
     */
    public String hubOf(String node) {
        return hubByNode.getOrDefault(node, node);
    }
}
