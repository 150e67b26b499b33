package org.cowslipbank.decision.routing;

/**
 * Measured rate of a store's link.
 *
 * @param configuredBytesPerSecond rate of the link by configuration
 * @param bytesPerSecond moving average of the measured rate; it falls while other nodes use the link
 * @param peakBytesPerSecond decaying maximum of the measured rate, near the rate of the link when it is not shared
 * @param timeouts transfers in sequence that timed out
 * @param closedUntilMillis no probe starts before this time after a timeout, in milliseconds
 * @param lastSampleMillis time of the last measurement, in milliseconds
 */
public record LinkEstimate(
        double configuredBytesPerSecond,
        double bytesPerSecond,
        double peakBytesPerSecond,
        int timeouts,
        long closedUntilMillis,
        long lastSampleMillis) {
    // A slow sample counts more than a fast one, because a prompt that waits for a slow link costs more than one that
    // recomputes although the link has recovered.
    private static final double SLOW_SAMPLE_SHARE = 0.4;
    private static final double FAST_SAMPLE_SHARE = 0.2;
    private static final long FIRST_CLOSE_MILLIS = 1_000;
    private static final int MAX_CLOSE_DOUBLINGS = 5;
    // Half-life of about 35 samples: long enough to span a burst of other nodes, short enough to follow a slow link.
    private static final double PEAK_DECAY = 0.98;
    private static final double PROBE_RATE_SHARE = 0.5;
    private static final long PROBE_AFTER_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the estimate before any measurement.
     *
     * @param configuredBytesPerSecond rate of the link by configuration
     * @return the estimate
     */
    public static LinkEstimate configured(double configuredBytesPerSecond) {
        return new LinkEstimate(configuredBytesPerSecond, configuredBytesPerSecond, configuredBytesPerSecond, 0, 0, 0);
    }

    /**
     * Takes in one received block.
     *
     * @param bytes length of the block
     * @param elapsedMillis time it occupied the link, above zero
     * @param nowMillis the time in milliseconds
     * @return the new estimate
     */
    public LinkEstimate received(long bytes, double elapsedMillis, long nowMillis) {
        double sample = bytes * MILLIS_PER_SECOND / elapsedMillis;
        double peak = Math.max(sample, PEAK_DECAY * peakBytesPerSecond);
        return new LinkEstimate(configuredBytesPerSecond, averaged(sample), peak, 0, 0, nowMillis);
    }

    /**
     * Takes in a transfer that timed out. The link closes for a time that doubles with each timeout in sequence, up to
     * 32 s; then one block may probe it. The rate falls as well, because the time until the timeout bounds it: a
     * slow link is thereby told from a dead one.
     *
     * @param bytes length of the block that did not arrive
     * @param elapsedMillis time waited for it, above zero
     * @param nowMillis the time in milliseconds
     * @return the new estimate
     */
    public LinkEstimate timedOut(long bytes, double elapsedMillis, long nowMillis) {
        long closeMillis = FIRST_CLOSE_MILLIS << Math.min(timeouts, MAX_CLOSE_DOUBLINGS);
        double bound = bytes * MILLIS_PER_SECOND / elapsedMillis;
        double rate = Math.min(bytesPerSecond, averaged(bound));
        long closedUntil = nowMillis + closeMillis;
        return new LinkEstimate(
                configuredBytesPerSecond, rate, peakBytesPerSecond, timeouts + 1, closedUntil, nowMillis);
    }

    private double averaged(double sample) {
        double share = sample < bytesPerSecond ? SLOW_SAMPLE_SHARE : FAST_SAMPLE_SHARE;
        return bytesPerSecond + share * (sample - bytesPerSecond);
    }

    /**
     * Tells whether the link may be used.
     *
     * @return down from a timeout until a block arrives, so that no prompt is the one that probes a dead store
     */
    public LinkState state() {
        return timeouts > 0 ? LinkState.DOWN : LinkState.UP;
    }

    /**
     * Tells whether one block should be fetched only to measure the link. A link that is down or estimated to be slow is
     * avoided and would otherwise never be seen to recover.
     *
     * @param nowMillis the time in milliseconds
     * @return true if the link is down and its closed time has passed, or if it is estimated slow and has not been
     *     measured for 5 s
     */
    public boolean needsProbe(long nowMillis) {
        if (timeouts > 0) {
            return nowMillis >= closedUntilMillis;
        }
        return bytesPerSecond < PROBE_RATE_SHARE * configuredBytesPerSecond
                && nowMillis - lastSampleMillis >= PROBE_AFTER_MILLIS;
    }
}
