package org.cowslipbank.model.fleet;

import java.util.Comparator;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Membership state of one node. On a merge the greater fact takes precedence: by incarnation, then status,
 * then leaving, then address. Only the node itself raises its incarnation, to refute a suspicion or to announce that it
 * leaves.
 *
 * @param vm the node
 * @param dataCentre its data centre
 * @param address its peer address as {@code IP:port}
 * @param callerPort port at which it listens for callers, on the same IP address
 * @param incarnation the node's incarnation; starts at the wall-clock milliseconds of its start
 * @param status the status
 * @param leaving true once the node drains and leaves the fleet
 */
public record MemberFact(
        VmId vm,
        DataCentreId dataCentre,
        String address,
        int callerPort,
        long incarnation,
        MemberStatus status,
        boolean leaving) {
    private static final Comparator<MemberFact> PRECEDENCE = Comparator.comparingLong(MemberFact::incarnation)
            .thenComparing(MemberFact::status)
            .thenComparing(MemberFact::leaving)
            .thenComparing(MemberFact::address)
            .thenComparingInt(MemberFact::callerPort)
            .thenComparing(MemberFact::dataCentre);

    /**
     * Merges this fact with another one about the same node.
     *
     * @param other the other fact
     * @return the one that takes precedence
     */
    public MemberFact merge(MemberFact other) {
        return PRECEDENCE.compare(this, other) >= 0 ? this : other;
    }

    /**
     * Returns a copy with another status.
     *
     * @param next the status
     * @return the copy
     */
    public MemberFact withStatus(MemberStatus next) {
        return new MemberFact(vm, dataCentre, address, callerPort, incarnation, next, leaving);
    }
}
