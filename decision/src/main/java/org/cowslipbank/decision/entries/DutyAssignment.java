package org.cowslipbank.decision.entries;

import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.trace.Decision;

/**
 * Assigns each duty to one node. The membership views of the nodes differ for a few seconds after a change, so two
 * nodes may hold a duty at the same time. Every duty therefore has its own protection: create-if-absent for claims, a
 * lease for commands, versions for load digests.
 */
public final class DutyAssignment {
    /** The decision as recorded in traces and replayed. */
    public static final Decision<DutyQuery, DutyAnswer> DECISION =
            new Decision<>("duty", DutyQuery.class, DutyAnswer.class, DutyAssignment::assign);

    private DutyAssignment() {}

    /**
     * Assigns a duty by rendezvous hashing to a node that takes work, in the preferred data centres if they have one. A
     * node with an unconfirmed view never holds a duty itself.
     *
     * @param query the duty and the nodes
     * @return the node that holds the duty, and whether it is this node
     */
    public static DutyAnswer assign(DutyQuery query) {
        List<FleetNode> working =
                query.nodes().stream().filter(FleetNode::acceptsWork).toList();
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
