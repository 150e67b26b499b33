package org.cowslipbank.decision.admission;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/**
 * Divides an upstream's slots between the nodes that send to it.
 *
 * <p>Load reports lag by more than the time in which a slot is taken, so nodes that fill a busy upstream according to
 * its report overshoot. A node that uses only its own slots finds them free without coordination. The remainder of the
 * division goes to the nodes with the highest hashes, so the shares add up to the slots and no node is preferred at
 * every upstream.
 */
public final class SlotShares {
    private SlotShares() {}

    /**
     * Returns the number of a node's own slots at an upstream.
     *
     * @param upstream the upstream
     * @param slots number of slots of the upstream
     * @param node the node
     * @param nodes all nodes that send to the upstream, including this one; not empty
     * @return the node's share of the slots
     */
    public static int ownSlots(UpstreamId upstream, int slots, VmId node, List<VmId> nodes) {
        int remainder = slots % nodes.size();
        long ownHash = hash(upstream, node);
        long nodesWithHigherHash = nodes.stream()
                .filter(other -> !other.equals(node) && hash(upstream, other) > ownHash)
                .count();
        return slots / nodes.size() + (nodesWithHigherHash < remainder ? 1 : 0);
    }

    private static long hash(UpstreamId upstream, VmId node) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(upstream.value())
                .putString(node.value())
                .getAsLong();
    }
}
