package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;

/**
 * The state of another node in the member table.
 *
 * @param fact the merged fact
 * @param changedMillis when the fact last changed, on this node's clock
 * @param listed whether the platform or the seed list names the node
 * @param listedLeaving whether the platform has announced that the node's VM will be removed
 */
record Member(MemberFact fact, long changedMillis, boolean listed, boolean listedLeaving) {
    NodeAddress node() {
        return new NodeAddress(fact.vm(), fact.dataCentre(), fact.address(), fact.callerPort());
    }

    boolean isDead() {
        return fact.status() == MemberStatus.DEAD;
    }
}
