package org.cowslipbank.decision.retry;

/**
 * What a node's own attempts show of one upstream. Immutable.
 *
 * <p>An upstream that fails every run at once always has the least load, so routing by load alone sends it most of the
 * traffic. After repeated failures it is left out for a while; then one attempt at a time tries it until one succeeds.
 *
 * @param consecutiveFailures failed attempts since the last success
 * @param avoidUntilMillis time until which no attempt is sent, zero if none failed lately
 * @param trialSinceMillis when the current trial was sent, -1 if none is under way
 */
public record UpstreamHealth(int consecutiveFailures, long avoidUntilMillis, long trialSinceMillis) {
    /** An upstream of which nothing bad is known. */
    public static final UpstreamHealth GOOD = new UpstreamHealth(0, 0, -1);

    /** Failures in a row before an upstream is left out; fewer are usual when one run is at fault. */
    static final int FAILURES = 3;

    /** First time for which it is left out, in milliseconds; it doubles with each failed trial. */
    static final long AVOID_MILLIS = 2_000;

    /** Longest time for which it is left out, in milliseconds. */
    static final long MAX_AVOID_MILLIS = 30_000;

    /** A trial that has not ended after this time does not block the next one. */
    static final long TRIAL_MILLIS = 10_000;

    private static final long NO_TRIAL = -1;

    /**
     * Tells whether an attempt may be sent.
     *
     * @param nowMillis the time in milliseconds
     * @return true if it may
     */
    public boolean mayTry(long nowMillis) {
        if (consecutiveFailures < FAILURES) {
            return true;
        }
        boolean trialRuns = trialSinceMillis != NO_TRIAL && nowMillis - trialSinceMillis < TRIAL_MILLIS;
        return nowMillis >= avoidUntilMillis && !trialRuns;
    }

    /**
     * Notes that an attempt is sent.
     *
     * @param nowMillis the time in milliseconds
     * @return the new state
     */
    public UpstreamHealth sent(long nowMillis) {
        return consecutiveFailures < FAILURES
                ? this
                : new UpstreamHealth(consecutiveFailures, avoidUntilMillis, nowMillis);
    }

    /**
     * Notes that a run finished or resumed with tokens.
     *
     * @return the new state
     */
    public UpstreamHealth succeeded() {
        return GOOD;
    }

    /**
     * Notes that an attempt failed.
     *
     * @param nowMillis the time in milliseconds
     * @return the new state
     */
    public UpstreamHealth failed(long nowMillis) {
        int failures = consecutiveFailures + 1;
        int doublings = Math.min(10, Math.max(0, failures - FAILURES));
        long avoidMillis = Math.min(MAX_AVOID_MILLIS, AVOID_MILLIS << doublings);
        return new UpstreamHealth(failures, failures < FAILURES ? 0 : nowMillis + avoidMillis, NO_TRIAL);
    }
}
