package org.cowslipbank.decision.streams;

/** Phase in the life of a stream. */
public enum StreamPhase {
    /** An attempt was requested; whether it was sent is not known yet. */
    OPENING,
    /** A further attempt waits for the retry budget, for an upstream or for a grant to run as a suspect. */
    WAITING,
    /** An attempt has been sent to an upstream. */
    RUNNING,
    /** The whole answer was emitted. */
    COMPLETE,
    /** The caller got an error. */
    FAILED,
    /** The caller has disconnected. */
    CANCELLED;

    /**
     * Returns whether the stream has ended.
     *
     * @return true if the caller gets no further tokens, completion or error
     */
    public boolean hasEnded() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
