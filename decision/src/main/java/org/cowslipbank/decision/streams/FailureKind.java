package org.cowslipbank.decision.streams;

/** How an attempt or one of its connections failed. */
public enum FailureKind {
    /** The connection could not be opened, so nothing was sent on it. */
    NOT_REACHED,
    /** The engine refused the attempt before it ran. */
    REFUSED,
    /** The connection was lost; the run may still be going on. */
    BROKEN,
    /** The engine that was asked to resume the run does not know the attempt. */
    UNKNOWN_ATTEMPT,
    /** The upstream is known to be dead. */
    UPSTREAM_DOWN,
    /** The engine ended the run with an error. */
    RUN_ABORTED
}
