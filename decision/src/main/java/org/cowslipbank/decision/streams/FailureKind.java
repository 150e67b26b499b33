package org.cowslipbank.decision.streams;

/** How an attempt or one of its connections failed. */
public enum FailureKind {
    /** No connection could be opened, so nothing was delivered over it. */
    NOT_REACHED,
    /** The engine refused the attempt before it ran. */
    REFUSED,
    /** The connection was lost; the run may go on. */
    BROKEN,
    /** A resume was answered by an engine that does not know the attempt. */
    UNKNOWN_ATTEMPT,
    /** The upstream is known to be dead. */
    UPSTREAM_DOWN,
    /** The engine ended the run with an error. */
    RUN_ABORTED
}
