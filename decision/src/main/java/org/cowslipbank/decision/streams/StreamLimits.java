package org.cowslipbank.decision.streams;

/**
 * Bounds of a stream.
 *
 * @param silenceMillis longest time without any event, heartbeats included, before a new connection is tried
 * @param attemptStartMillis longest time from sending an attempt to its first token
 * @param tokenGapMillis longest time between two tokens of a run that still sends heartbeats
 * @param maxResumes resumes without a new token in between before the attempt is given up
 * @param maxAttempts attempts of a request, the first included
 * @param maxUnreadTokens tokens that a caller may leave unread before reading from the engine pauses
 * @param callerStallMillis longest pause for a caller that does not read
 * @param retryWaitMillis longest time that a further attempt waits for the retry budget or for an upstream
 * @param suspectWaitMillis longest time that a further attempt waits for its turn as a suspect
 */
public record StreamLimits(
        long silenceMillis,
        long attemptStartMillis,
        long tokenGapMillis,
        int maxResumes,
        int maxAttempts,
        int maxUnreadTokens,
        long callerStallMillis,
        long retryWaitMillis,
        long suspectWaitMillis) {
    /**
     * Default bounds. Engines send heartbeats every few hundred milliseconds, so a second of silence spans several
     * missed ones. A further attempt may wait as long as two windows of the retry budget. A suspect may wait for
     * several runs of other suspects, since the alternative is to refuse a request that did nothing wrong.
     */
    public static final StreamLimits DEFAULTS =
            new StreamLimits(1_000, 30_000, 5_000, 2, 3, 1_024, 30_000, 20_000, 120_000);
}
