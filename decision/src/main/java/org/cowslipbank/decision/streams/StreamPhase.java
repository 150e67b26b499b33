package org.cowslipbank.decision.streams;

/** Phase of a stream. */
public enum StreamPhase {
    /** The shell has been asked to start an attempt and has not answered yet. */
    OPENING,
    /** A further attempt waits for the retry budget or for an upstream. */
    WAITING,
    /** An attempt has been sent. */
    RUNNING,
    /** The whole answer was emitted. */
    COMPLETE,
    /** The caller was told an error. */
    FAILED,
    /** The caller has gone. */
    CANCELLED;

    /**
     * Tells whether the stream has ended.
     *
     * @return true if no further effect reaches the caller
     */
    public boolean ended() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
