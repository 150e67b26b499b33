package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.MemberStatus;

/**
 * A node that is not dead, as one node sees it.
 *
 * @param node the node
 * @param status alive or suspect
 * @param leaving true if the node drains or the platform has announced that its VM goes away
 * @param reachable false if the node's data centre is not heard from
 */
public record FleetNode(NodeAddress node, MemberStatus status, boolean leaving, boolean reachable) {
    /**
     * Tells whether the node may be given new work.
     *
     * @return true if it is neither leaving nor out of reach
     */
    public boolean takesWork() {
        return !leaving && reachable;
    }
}
