package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

/**
 * What a check tells about an upstream whose connection was closed at the end of an answer without a length. A killed
 * process closes its connections as one does that has written its answer, so the close is the answer's end only if the
 * same process was alive after it.
 */
public enum EndEvidence {
    /** The same process was alive after the close: the answer is whole. */
    ALIVE,
    /** Another process is there: the one that wrote the answer has ended. */
    RESTARTED,
    /** The upstream accepted no connection or no call. */
    REFUSED,
    /** The upstream closed the connection of the check, or did not answer in time. */
    NO_ANSWER;

    /** Calls of one check; a connection may be reset because the upstream has too many, or may have been idle for too long. */
    public static final int MAX_CALLS = 2;

    /**
     * Judges an engine's report. One that does not state its start was answered within a second of the close; engines take
     * seconds to start.
     *
     * @param registeredAtMillis when the engine that wrote the answer was started, in Unix milliseconds; zero if not stated
     * @param reportedAtMillis when the engine that answers now was started, in Unix milliseconds; empty if not stated
     * @return whether it is the same process
     */
    public static EndEvidence ofReport(long registeredAtMillis, OptionalLong reportedAtMillis) {
        boolean stated = registeredAtMillis > 0 && reportedAtMillis.isPresent();
        return stated && reportedAtMillis.getAsLong() != registeredAtMillis ? RESTARTED : ALIVE;
    }

    /**
     * Returns whether a further call could tell more.
     *
     * @param calls the calls made so far
     * @return true if this evidence does not decide and a call is left
     */
    public boolean isWorthAnotherCall(int calls) {
        return this == NO_ANSWER && calls < MAX_CALLS;
    }
}
