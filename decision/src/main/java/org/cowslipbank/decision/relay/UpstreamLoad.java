package org.cowslipbank.decision.relay;

/** What this node has seen of one incarnation of an upstream. */
final class UpstreamLoad {
    static final long NEVER = Long.MIN_VALUE;

    int inFlight;
    long tokensInFlight;
    long unreadTokens;
    /** Tokens of a waiting prompt for which room is kept. */
    long bookedTokens;
    /** Since when something is awaited and nothing was heard, {@link #NEVER} if nothing is awaited. */
    long silentSinceMillis = NEVER;

    long silenceMillis;
    /** No new requests before this time. */
    long avoidedUntilMillis = NEVER;
    /** True from a failure until the next sign of life: one request at a time is tried. */
    boolean onProbation;

    int brokenInARow;
    /** Moving share of requests that failed. */
    double failedShare;

    long weightVersion;
}
