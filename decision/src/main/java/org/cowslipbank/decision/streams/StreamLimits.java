package org.cowslipbank.decision.streams;

/**
 * Timeouts and limits of a stream.
 *
 * @param silenceMillis longest time without any event, heartbeats included, before reconnecting
 * @param attemptStartMillis longest time from sending an attempt to its first token
 * @param tokenGapMillis longest time between two tokens of a run that still sends heartbeats
 * @param maxResumes resumes without a new token after which the attempt is abandoned
 * @param maxAttempts attempts per request, including the first
 * @param maxUnreadTokens number of tokens unread by the caller above which reading from the engine pauses
 * @param callerStallMillis longest such pause before the stream fails
 * @param retryWaitMillis longest time that a further attempt waits for the retry budget or for an upstream
 * @param suspectWaitMillis longest time that a further attempt of a suspect request waits for a grant to run
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
     * Default limits. Engines send heartbeats every few hundred milliseconds, so a second of silence means several
     * missed heartbeats. A further attempt may wait for two windows of the retry budget. A suspect request may wait for
     * several runs of other suspects, since the alternative is to refuse a request that may be harmless.
     */
    public static final StreamLimits DEFAULTS =
            new StreamLimits(1_000, 30_000, 5_000, 2, 3, 1_024, 30_000, 20_000, 120_000);
}
