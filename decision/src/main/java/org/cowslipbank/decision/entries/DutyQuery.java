package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Input of the duty assignment.
 *
 * @param duty kind of duty
 * @param name name of the partition, upstream or model group
 * @param preferred data centres whose nodes are preferred, such as the upstream's own or those of a region; empty for
 *     no preference
 * @param nodes the nodes in this node's membership view
 * @param self this node
 * @param confirmed true if the view has been confirmed since this node's start or last pause: by answered probes, or by
 *     the platform if this node knows no other nodes
 */
public record DutyQuery(
        Duty duty, String name, List<DataCentreId> preferred, List<FleetNode> nodes, VmId self, boolean confirmed) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public DutyQuery {
        preferred = List.copyOf(preferred);
        nodes = List.copyOf(nodes);
    }
}
