package org.cowslipbank.decision.suspects;

/** Whether a request may run, derived from the crashes that it was in flight at. */
public enum SuspectVerdict {
    /** Not suspected of causing any crash. */
    CLEAR,
    /** In flight at one crash whose cause is unknown. */
    SUSPECT,
    /** In flight at two crashes; every node refuses it. */
    REFUSED
}
