package org.cowslipbank.model.fleet;

/**
 * Failure-detector status of a node, as seen by the nodes of its data centre. The declaration order is the precedence
 * within one incarnation.
 */
public enum MemberStatus {
    /** The node answers probes. */
    ALIVE,
    /** The node did not answer a probe and may still refute the suspicion. */
    SUSPECT,
    /** The node did not refute the suspicion in time. */
    DEAD
}
