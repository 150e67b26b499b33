package org.cowslipbank.entry.fleet;

import java.util.List;

import org.cowslipbank.decision.membership.ListedNode;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Settings of the fleet service.
 *
 * @param self this node
 * @param seeds nodes named in the settings; members of the node list even if the platform's VM list lacks them
 * @param membership settings of the membership protocol
 * @param tickMillis period of the protocol's timer, in milliseconds
 * @param vmListPeriodMillis period in which the platform's VM list is read, in milliseconds
 * @param seed random seed of the protocol; must differ between nodes
 */
public record FleetSettings(
        NodeAddress self,
        List<NodeAddress> seeds,
        MembershipSettings membership,
        long tickMillis,
        long vmListPeriodMillis,
        long seed) {
    /** Makes an unmodifiable copy of the seeds; null elements are rejected with NullPointerException. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }

    List<ListedNode> listedSeeds() {
        return seeds.stream().map(node -> new ListedNode(node, false)).toList();
    }
}
