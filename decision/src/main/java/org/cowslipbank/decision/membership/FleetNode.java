package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.MemberStatus;

/**
 * A node that is not dead, in the view of one node.
 *
 * @param node the node
 * @param status alive or suspect
 * @param leaving true if the node is draining or the platform has announced that its VM will be removed
 * @param reachable false if the node's data centre is unreachable
 */
public record FleetNode(NodeAddress node, MemberStatus status, boolean leaving, boolean reachable) {
    /**
     * Returns whether the node may be given new work.
     *
     * @return true if it is reachable and not leaving
     */
    public boolean acceptsWork() {
        return !leaving && reachable;
    }
}
