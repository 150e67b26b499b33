package org.cowslipbank.decision.routing;

/**
 * Measured rate of a store's link.
 *
 * @param bytesPerSecond moving average of the measured rate
 * @param timeouts transfers in sequence that timed out
 * @param closedUntilMillis no transfer starts before this time, in milliseconds
 */
public record LinkEstimate(double bytesPerSecond, int timeouts, long closedUntilMillis) {
    // A slow sample counts more than a fast one, because a prompt that waits for a slow link costs more than one that
    // recomputes although the link has recovered.
    private static final double SLOW_SAMPLE_SHARE = 0.4;
    private static final double FAST_SAMPLE_SHARE = 0.2;
    private static final long FIRST_CLOSE_MILLIS = 1_000;
    private static final int MAX_CLOSE_DOUBLINGS = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the estimate before any measurement.
     *
     * @param configuredBytesPerSecond rate of the link by configuration
     * @return the estimate
     */
    public static LinkEstimate configured(double configuredBytesPerSecond) {
        return new LinkEstimate(configuredBytesPerSecond, 0, 0);
    }

    /**
     * Takes in one received block.
     *
     * @param bytes length of the block
     * @param elapsedMillis time it occupied the link, above zero
     * @return the new estimate
     */
    public LinkEstimate received(long bytes, double elapsedMillis) {
        double sample = bytes * MILLIS_PER_SECOND / elapsedMillis;
        double share = sample < bytesPerSecond ? SLOW_SAMPLE_SHARE : FAST_SAMPLE_SHARE;
        return new LinkEstimate(bytesPerSecond + share * (sample - bytesPerSecond), 0, 0);
    }

    /**
     * Takes in a transfer that timed out. The link closes for a time that doubles with each timeout in sequence, up to
     * 32 s; then one transfer may try it again.
     *
     * @param nowMillis the time in milliseconds
     * @return the new estimate
     */
    public LinkEstimate timedOut(long nowMillis) {
        long closeMillis = FIRST_CLOSE_MILLIS << Math.min(timeouts, MAX_CLOSE_DOUBLINGS);
        return new LinkEstimate(bytesPerSecond, timeouts + 1, nowMillis + closeMillis);
    }

    /**
     * Tells whether the link may be used.
     *
     * @param nowMillis the time in milliseconds
     * @return down while the link is closed after a timeout
     */
    public LinkState state(long nowMillis) {
        return nowMillis < closedUntilMillis ? LinkState.DOWN : LinkState.UP;
    }
}
