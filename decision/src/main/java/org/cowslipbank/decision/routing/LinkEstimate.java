package org.cowslipbank.decision.routing;

/**
 * Estimated rate and state of a store's link, with a circuit breaker for timeouts.
 *
 * @param configuredBytesPerSecond configured rate of the link
 * @param bytesPerSecond moving average of the measured rate; lower while other nodes use the link
 * @param peakBytesPerSecond decaying maximum of the measured rate; approximates the rate of the unshared link
 * @param consecutiveTimeouts number of consecutive transfers that timed out
 * @param backoffUntilMillis time before which the link is not probed after a timeout, in milliseconds
 * @param lastSampleMillis time of the last measurement, in milliseconds
 */
public record LinkEstimate(
        double configuredBytesPerSecond,
        double bytesPerSecond,
        double peakBytesPerSecond,
        int consecutiveTimeouts,
        long backoffUntilMillis,
        long lastSampleMillis) {
    // A slow sample counts more than a fast one, because waiting for a slow link costs more than recomputing
    // although the link has recovered.
    private static final double SLOW_SAMPLE_WEIGHT = 0.4;
    private static final double FAST_SAMPLE_WEIGHT = 0.2;
    private static final long FIRST_BACKOFF_MILLIS = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    // Half-life of about 35 samples: long enough to outlast a burst of other nodes, short enough to follow a slow link.
    private static final double PEAK_DECAY_PER_SAMPLE = 0.98;
    private static final double PROBE_BELOW_RATE_SHARE = 0.5;
    private static final long PROBE_AFTER_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the estimate before any measurement.
     *
     * @param configuredBytesPerSecond configured rate of the link
     * @return the estimate
     */
    public static LinkEstimate ofConfiguredRate(double configuredBytesPerSecond) {
        return new LinkEstimate(configuredBytesPerSecond, configuredBytesPerSecond, configuredBytesPerSecond, 0, 0, 0);
    }

    /**
     * Adds the measurement of one received block and marks the link as up.
     *
     * @param bytes length of the block in bytes
     * @param elapsedMillis time that the block occupied the link, above zero
     * @param nowMillis the time in milliseconds
     * @return the new estimate
     */
    public LinkEstimate withReceivedBlock(long bytes, double elapsedMillis, long nowMillis) {
        double sample = bytes * MILLIS_PER_SECOND / elapsedMillis;
        double peak = Math.max(sample, PEAK_DECAY_PER_SAMPLE * peakBytesPerSecond);
        return new LinkEstimate(configuredBytesPerSecond, movingAverage(sample), peak, 0, 0, nowMillis);
    }

    /**
     * Adds a transfer that timed out and marks the link as down. The link is not used for a time that doubles with each
     * consecutive timeout, up to 32 s; then it may be probed with one block. The estimated rate falls too, because the
     * timeout is an upper bound of the rate, so that a slow link is distinguished from a dead one.
     *
     * @param bytes length in bytes of the block that did not arrive
     * @param elapsedMillis time waited for the block, above zero
     * @param nowMillis the time in milliseconds
     * @return the new estimate
     */
    public LinkEstimate withTimeout(long bytes, double elapsedMillis, long nowMillis) {
        long backoffMillis = FIRST_BACKOFF_MILLIS << Math.min(consecutiveTimeouts, MAX_BACKOFF_DOUBLINGS);
        double maxRate = bytes * MILLIS_PER_SECOND / elapsedMillis;
        double rate = Math.min(bytesPerSecond, movingAverage(maxRate));
        long closedUntil = nowMillis + backoffMillis;
        return new LinkEstimate(
                configuredBytesPerSecond, rate, peakBytesPerSecond, consecutiveTimeouts + 1, closedUntil, nowMillis);
    }

    private double movingAverage(double sample) {
        double weight = sample < bytesPerSecond ? SLOW_SAMPLE_WEIGHT : FAST_SAMPLE_WEIGHT;
        return bytesPerSecond + weight * (sample - bytesPerSecond);
    }

    /**
     * Returns whether the link may be used for prompts.
     *
     * @return down from a timeout until a block arrives, so that no prompt has to probe a dead store
     */
    public LinkState state() {
        return consecutiveTimeouts > 0 ? LinkState.DOWN : LinkState.UP;
    }

    /**
     * Returns whether one block should be fetched only to measure the link. A link that is down or slow is avoided, so
     * its recovery would otherwise go unnoticed.
     *
     * @param nowMillis the time in milliseconds
     * @return true if the link is down and its backoff has passed, or if it is estimated to be slow and has not been
     *     measured for 5 s
     */
    public boolean needsProbe(long nowMillis) {
        if (consecutiveTimeouts > 0) {
            return nowMillis >= backoffUntilMillis;
        }
        return bytesPerSecond < PROBE_BELOW_RATE_SHARE * configuredBytesPerSecond
                && nowMillis - lastSampleMillis >= PROBE_AFTER_MILLIS;
    }
}
