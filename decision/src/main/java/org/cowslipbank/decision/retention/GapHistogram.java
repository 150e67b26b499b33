package org.cowslipbank.decision.retention;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Histogram of the gaps between two runs of a team's sessions. Bucket {@code i} covers gaps from {@code 2^i} to
 * {@code 2^(i+1)} seconds; the first also covers shorter gaps and the last, from about 12 days, longer ones.
 *
 * <p>A session is counted in a bucket when its gap leaves the bucket: when the session returns, or when the gap becomes
 * longer than the bucket. Sessions that are still away are therefore not counted as lost, which would underestimate the
 * returns of teams with long gaps (actuarial estimator of survival analysis).
 *
 * @param exposures for each bucket, the number of sessions whose gap left it; older sessions count less
 * @param returns for each bucket, the number of these sessions that returned
 */
public record GapHistogram(List<Double> exposures, List<Double> returns) {
    /** Number of buckets. */
    public static final int BUCKETS = 21;

    // Without observations, half of all sessions are expected to return within an hour, which is twelve buckets.
    private static final double PRIOR_EXPOSURE = 2;
    private static final double PRIOR_HAZARD = 1 - Math.pow(0.5, 1.0 / 12);
    // From this count on, older observations are halved, so that changes in the callers' behaviour take effect.
    private static final double MAX_EXPOSURE = 4_096;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public GapHistogram {
        exposures = List.copyOf(exposures);
        returns = List.copyOf(returns);
    }

    /**
     * Returns a histogram without observations.
     *
     * @return the histogram
     */
    public static GapHistogram empty() {
        List<Double> zeros = Collections.nCopies(BUCKETS, 0.0);
        return new GapHistogram(zeros, zeros);
    }

    /**
     * Counts the return of a session.
     *
     * @param gapMillis time since the session's last run ended, in milliseconds
     * @return the new histogram
     */
    public GapHistogram withReturn(long gapMillis) {
        return withObservation(bucket(gapMillis), 1);
    }

    /**
     * Counts a session that is still away.
     *
     * @param countedMillis the gap up to which the session has been counted, in milliseconds
     * @param awayMillis time since the session's last run ended, in milliseconds
     * @return the new histogram
     */
    public GapHistogram withAway(long countedMillis, long awayMillis) {
        GapHistogram histogram = this;
        for (int bucket = bucket(countedMillis); bucket < bucket(awayMillis); bucket++) {
            histogram = histogram.withObservation(bucket, 0);
        }
        return histogram;
    }

    private GapHistogram withObservation(int bucket, int returned) {
        List<Double> newExposures = new ArrayList<>(exposures);
        List<Double> newReturns = new ArrayList<>(returns);
        double keep = exposures.get(bucket) < MAX_EXPOSURE ? 1 : 0.5;
        newExposures.set(bucket, keep * exposures.get(bucket) + 1);
        newReturns.set(bucket, keep * returns.get(bucket) + returned);
        return new GapHistogram(newExposures, newReturns);
    }

    private static int bucket(long gapMillis) {
        long seconds = Math.max(1, gapMillis / (long) MILLIS_PER_SECOND);
        return Math.min(BUCKETS - 1, Long.SIZE - 1 - Long.numberOfLeadingZeros(seconds));
    }

    /**
     * Returns the probability that a session that is still away returns within the horizon.
     *
     * @param awayMillis time since the session's last run ended, in milliseconds
     * @param horizonMillis length of the horizon from now, in milliseconds
     * @return the probability from 0 to 1
     */
    public double returnProbability(long awayMillis, long horizonMillis) {
        double fromSeconds = awayMillis / MILLIS_PER_SECOND;
        double toSeconds = (awayMillis + horizonMillis) / MILLIS_PER_SECOND;
        double logNoReturn = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            double from = bucket == 0 ? 0 : 1L << bucket;
            double to = 1L << (bucket + 1);
            double overlap = Math.min(toSeconds, to) - Math.max(fromSeconds, from);
            if (overlap > 0) {
                logNoReturn += overlap / (to - from) * Math.log(1 - hazard(bucket));
            }
        }
        return 1 - Math.exp(logNoReturn);
    }

    private double hazard(int bucket) {
        return (returns.get(bucket) + PRIOR_EXPOSURE * PRIOR_HAZARD) / (exposures.get(bucket) + PRIOR_EXPOSURE);
    }
}
