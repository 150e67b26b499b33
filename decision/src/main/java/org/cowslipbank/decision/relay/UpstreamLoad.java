package org.cowslipbank.decision.relay;

/** Load and health of one incarnation of an upstream, as observed by this node. */
final class UpstreamLoad {
    static final long NEVER = Long.MIN_VALUE;

    int inFlight;
    long tokensInFlight;
    long unreadTokens;
    /** Prompt tokens of waiting requests for which capacity is reserved. */
    long reservedTokens;
    /** Time since which requests are in flight and no bytes arrived, {@link #NEVER} if no request is in flight. */
    long silentSinceMillis = NEVER;

    /** When the upstream was last found silent together with others. */
    long silentWithOthersMillis = NEVER;

    /** Silence after which the upstream counts as silent. */
    long silenceLimitMillis;
    /** End of the quarantine; no new requests before this time. */
    long quarantinedUntilMillis = NEVER;

    /** End of the quarantine for silence, unless bytes arrive before. */
    long silenceQuarantinedUntilMillis = NEVER;
    /** Requests that ended for silence since the last bytes, counted once for each quarantine. */
    int consecutiveSilences;
    /** Half-open circuit breaker: from a failure until the next bytes only one request at a time is sent. */
    boolean halfOpen;

    int consecutiveBroken;
    /** Moving average of the share of requests that failed. */
    double failureRate;

    long weightVersion;
}
