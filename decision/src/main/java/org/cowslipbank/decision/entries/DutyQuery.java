package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Asks which node holds a duty.
 *
 * @param duty kind of duty
 * @param name the partition, upstream or model group
 * @param preferred data centres whose nodes are preferred, such as the upstream's own or those of a region; empty for
 *     all
 * @param nodes the nodes as this node sees them
 * @param self this node
 * @param confirmed whether this node's view is confirmed
 */
public record DutyQuery(
        Duty duty, String name, List<DataCentreId> preferred, List<FleetNode> nodes, VmId self, boolean confirmed) {
    /** Copies the lists. */
    public DutyQuery {
        preferred = List.copyOf(preferred);
        nodes = List.copyOf(nodes);
    }
}
