package org.cowslipbank.decision.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Among how many nodes the rate of cold upstreams is shared, and this node's place among them.
 *
 * <p>A number that is too small makes the nodes send more than their shares, and one that is too large costs a part of the
 * rate for some seconds. Registrations of nodes vanish when the metadata store is disturbed, so the largest set of the last
 * minutes counts, and after a start, when every node knows few others yet, nothing is sent until the number has settled.
 * Confined to the traffic thread.
 */
final class SendingNodes {
    /** Time for which a larger set of nodes counts after some of them have vanished; outages of the store are shorter. */
    static final long LARGEST_KEPT_MILLIS = 120_000;

    /** Time after the number of nodes has grown until it is used; nodes learn of each other within a second. */
    static final long SETTLING_MILLIS = 1_000;

    /** Growth of the number of nodes from which on the nodes may disagree on it by more than their reserve. */
    static final double SETTLING_GROWTH = 1.25;

    /** Fraction of the golden ratio: multiples of it leave no large gaps, in any run of consecutive nodes. */
    private static final double GOLDEN_FRACTION = 0.618033988749894848;

    private Set<String> current = Set.of();
    /** The set that is used: the largest of the last minutes. */
    private Set<String> used = Set.of();
    /** Earlier sets, each larger than all that were known after it. */
    private final Deque<Earlier> earlier = new ArrayDeque<>();

    private int settledNodes;
    private long settledAtMillis = Long.MIN_VALUE;
    private int count;
    private int index;

    /** A set of nodes and when it ceased to be the one that is known. */
    private record Earlier(Set<String> nodes, long endedMillis) {}

    /**
     * Records the nodes that are known.
     *
     * @param names the registered nodes that may send
     * @param self this node's name
     * @param nowMillis the time in milliseconds
     * @return true if the share has changed
     */
    boolean onNodes(Set<String> names, String self, long nowMillis) {
        if (!names.equals(current)) {
            dropUpTo(current.size());
            earlier.addLast(new Earlier(current, nowMillis));
            current = Set.copyOf(names);
        }
        dropUpTo(current.size());
        while (!earlier.isEmpty() && nowMillis - earlier.getFirst().endedMillis() >= LARGEST_KEPT_MILLIS) {
            earlier.removeFirst();
            settledNodes = 0;
        }
        return use(earlier.isEmpty() ? current : earlier.getFirst().nodes(), self, nowMillis);
    }

    private void dropUpTo(int size) {
        while (!earlier.isEmpty() && earlier.getLast().nodes().size() <= size) {
            earlier.removeLast();
        }
    }

    private boolean use(Set<String> nodes, String self, long nowMillis) {
        if (nodes.equals(used)) {
            return false;
        }
        used = nodes;
        TreeSet<String> sharing = new TreeSet<>(nodes);
        if (!nodes.isEmpty()) {
            // A node whose own registration is missing sends all the same.
            sharing.add(self);
        }
        count = sharing.size();
        index = Math.max(0, List.copyOf(sharing).indexOf(self));
        if (count > SETTLING_GROWTH * settledNodes) {
            settledNodes = count;
            settledAtMillis = nowMillis + SETTLING_MILLIS;
        }
        return true;
    }

    /**
     * Returns the number of nodes that share the rate.
     *
     * @return the number, zero if no node is known yet, so that nothing may be sent
     */
    int count() {
        return count;
    }

    /**
     * Returns when the number can be relied on.
     *
     * @return the time in milliseconds
     */
    long settledAtMillis() {
        return settledAtMillis;
    }

    /**
     * Returns this node's place in the interval between two of its requests.
     *
     * @return the place, from 0 to 1; the places of the nodes are spread evenly
     */
    double phase() {
        return index * GOLDEN_FRACTION % 1;
    }
}
