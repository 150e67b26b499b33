package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;

/**
 * What a node knows about another one.
 *
 * @param fact the merged fact
 * @param changedMillis when the fact last changed here
 * @param listed whether the platform or the seed list names the node
 * @param listedLeaving whether the platform has announced that the node's VM goes away
 */
record Member(MemberFact fact, long changedMillis, boolean listed, boolean listedLeaving) {
    NodeAddress node() {
        return new NodeAddress(fact.vm(), fact.dataCentre(), fact.address(), fact.callerPort());
    }

    boolean isDead() {
        return fact.status() == MemberStatus.DEAD;
    }
}
