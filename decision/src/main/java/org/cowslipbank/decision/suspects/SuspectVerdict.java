package org.cowslipbank.decision.suspects;

/** What is known of a fingerprint. */
public enum SuspectVerdict {
    /** Nothing speaks against it. */
    CLEAR,
    /** It was in flight at one unexplained crash. */
    SUSPECT,
    /** It was in flight at two crashes and is refused everywhere. */
    REFUSED
}
