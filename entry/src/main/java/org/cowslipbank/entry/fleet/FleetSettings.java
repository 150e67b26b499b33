package org.cowslipbank.entry.fleet;

import java.util.List;

import org.cowslipbank.decision.membership.ListedNode;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Settings of the fleet service.
 *
 * @param self this node
 * @param seeds nodes named by the settings
 * @param membership settings of the protocol
 * @param tickMillis time between two ticks of the control thread
 * @param vmListPeriodMillis time between two reads of the platform's VM list
 * @param seed seed of the protocol's random choices; differs between nodes
 */
public record FleetSettings(
        NodeAddress self,
        List<NodeAddress> seeds,
        MembershipSettings membership,
        long tickMillis,
        long vmListPeriodMillis,
        long seed) {
    /** Copies the seeds. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }

    List<ListedNode> listedSeeds() {
        return seeds.stream().map(node -> new ListedNode(node, false)).toList();
    }
}
