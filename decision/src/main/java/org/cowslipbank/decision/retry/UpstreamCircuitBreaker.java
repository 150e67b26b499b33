package org.cowslipbank.decision.retry;

/**
 * Circuit breaker of a node for one upstream. Immutable.
 *
 * <p>An upstream that fails every run immediately always has the least load, so routing by load alone would send it
 * most of the traffic. After repeated failures the node sends it no attempts for a time (open); then it sends one trial
 * attempt at a time (half-open) until one succeeds (closed).
 *
 * @param consecutiveFailures number of failed attempts since the last success
 * @param avoidUntilMillis time until which no attempt is sent, in milliseconds; zero if the circuit breaker is closed
 * @param trialSinceMillis time at which the current trial attempt was sent, in milliseconds; -1 if there is none
 */
public record UpstreamCircuitBreaker(int consecutiveFailures, long avoidUntilMillis, long trialSinceMillis) {
    /** State without failures. */
    public static final UpstreamCircuitBreaker CLOSED = new UpstreamCircuitBreaker(0, 0, -1);

    /** Consecutive failures that open the circuit breaker; fewer can be due to a single faulty run. */
    static final int FAILURE_THRESHOLD = 3;

    /** Time for which the circuit breaker is first open, in milliseconds; doubles with each failed trial. */
    static final long INITIAL_AVOID_MILLIS = 2_000;

    /** Longest time for which the circuit breaker is open, in milliseconds. */
    static final long MAX_AVOID_MILLIS = 30_000;

    /** Time in milliseconds after which a trial that has not ended no longer blocks the next one. */
    static final long TRIAL_TIMEOUT_MILLIS = 10_000;

    private static final long NO_TRIAL = -1;

    /**
     * Returns whether an attempt may be sent to the upstream.
     *
     * @param nowMillis current time in milliseconds
     * @return true if the circuit breaker is closed, or half-open without a current trial
     */
    public boolean allowsAttempt(long nowMillis) {
        if (consecutiveFailures < FAILURE_THRESHOLD) {
            return true;
        }
        boolean trialInProgress = trialSinceMillis != NO_TRIAL && nowMillis - trialSinceMillis < TRIAL_TIMEOUT_MILLIS;
        return nowMillis >= avoidUntilMillis && !trialInProgress;
    }

    /**
     * Records that an attempt is sent.
     *
     * @param nowMillis current time in milliseconds
     * @return the new state
     */
    public UpstreamCircuitBreaker onAttemptSent(long nowMillis) {
        return consecutiveFailures < FAILURE_THRESHOLD
                ? this
                : new UpstreamCircuitBreaker(consecutiveFailures, avoidUntilMillis, nowMillis);
    }

    /**
     * Records that a run finished or resumed with tokens, which closes the circuit breaker.
     *
     * @return the new state
     */
    public UpstreamCircuitBreaker onSuccess() {
        return CLOSED;
    }

    /**
     * Records that an attempt failed.
     *
     * @param nowMillis current time in milliseconds
     * @return the new state
     */
    public UpstreamCircuitBreaker onFailure(long nowMillis) {
        int failures = consecutiveFailures + 1;
        int doublings = Math.min(10, Math.max(0, failures - FAILURE_THRESHOLD));
        long avoidMillis = Math.min(MAX_AVOID_MILLIS, INITIAL_AVOID_MILLIS << doublings);
        return new UpstreamCircuitBreaker(
                failures, failures < FAILURE_THRESHOLD ? 0 : nowMillis + avoidMillis, NO_TRIAL);
    }
}
