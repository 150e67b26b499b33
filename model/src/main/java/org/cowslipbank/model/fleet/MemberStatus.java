package org.cowslipbank.model.fleet;

/** What the nodes of a data centre say about one of them. The order is the precedence within one incarnation. */
public enum MemberStatus {
    /** Answers probes. */
    ALIVE,
    /** Did not answer; has time to refute. */
    SUSPECT,
    /** Did not refute in time. */
    DEAD
}
