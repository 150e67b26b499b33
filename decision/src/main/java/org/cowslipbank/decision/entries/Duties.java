package org.cowslipbank.decision.entries;

import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.trace.Decision;

/**
 * Assigns duties. Views differ for a few seconds after a change, so two nodes may both hold a duty for a moment; every
 * duty is guarded by something else (create-if-absent for claims, a lease for commands, versions for load digests).
 */
public final class Duties {
    /** The decision for traces. */
    public static final Decision<DutyQuery, DutyAnswer> DECISION =
            new Decision<>("duty", DutyQuery.class, DutyAnswer.class, Duties::assign);

    private Duties() {}

    /**
     * Assigns a duty to the node with the greatest weight among those that take work, in the preferred data centres if
     * there is one. A node with an unconfirmed view never holds a duty itself.
     *
     * @param query the query
     * @return the answer
     */
    public static DutyAnswer assign(DutyQuery query) {
        List<FleetNode> working =
                query.nodes().stream().filter(FleetNode::takesWork).toList();
        List<FleetNode> preferred = working.stream()
                .filter(node -> query.preferred().contains(node.node().dataCentre()))
                .toList();
        String key = Rendezvous.key(query.duty().name(), query.name());
        Optional<NodeAddress> owner = Rendezvous.owner(
                        key,
                        preferred.isEmpty() ? working : preferred,
                        node -> node.node().vm().value())
                .map(FleetNode::node);
        boolean mine = query.confirmed()
                && owner.filter(node -> node.vm().equals(query.self())).isPresent();
        return new DutyAnswer(owner, mine);
    }
}
