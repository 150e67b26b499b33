package org.cowslipbank.decision.admission;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/**
 * Divides an upstream's slots between the nodes that send to it.
 *
 * <p>Load reports lag by more than the time in which a slot is taken, so nodes that fill a busy upstream by its report
 * overshoot. A node that keeps to its own slots finds them free without asking. The remainder of the division goes to
 * the nodes of highest hash, so the shares add up to the slots and no node is preferred at all upstreams.
 */
public final class SlotShares {
    private SlotShares() {}

    /**
     * Returns a node's slots at an upstream.
     *
     * @param upstream the upstream
     * @param slots the upstream's slots
     * @param node the node
     * @param nodes the nodes that send to the upstream, the node included
     * @return the number of slots
     */
    public static int own(UpstreamId upstream, int slots, VmId node, List<VmId> nodes) {
        int remainder = slots % nodes.size();
        long ownHash = hash(upstream, node);
        long higher = nodes.stream()
                .filter(other -> !other.equals(node) && hash(upstream, other) > ownHash)
                .count();
        return slots / nodes.size() + (higher < remainder ? 1 : 0);
    }

    private static long hash(UpstreamId upstream, VmId node) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(upstream.value())
                .putString(node.value())
                .getAsLong();
    }
}
