package org.cowslipbank.decision.retention;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * How long a team's sessions stay away. Bucket {@code i} covers gaps from {@code 2^i} to {@code 2^(i+1)} seconds; the
 * first also covers shorter ones and the last longer ones (about 12 days).
 *
 * <p>A session counts in a bucket once it has left it, by returning or by staying away longer. Sessions that are still
 * away therefore do not count as lost, which would understate the returns of teams with long gaps (the actuarial
 * estimator of survival analysis).
 *
 * @param exposures sessions that left each bucket
 * @param returns sessions that left each bucket by returning
 */
public record GapHistogram(List<Double> exposures, List<Double> returns) {
    /** Number of buckets. */
    public static final int BUCKETS = 21;

    // Before observations half of all sessions are expected back within an hour, which is twelve buckets.
    private static final double PRIOR_EXPOSURE = 2;
    private static final double PRIOR_HAZARD = 1 - Math.pow(0.5, 1.0 / 12);
    // Older observations fade once a bucket has this many, so that a change of habit shows.
    private static final double MAX_EXPOSURE = 4_096;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the lists. */
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
     * Counts a return.
     *
     * @param gapMillis time since the session's last run ended, in milliseconds
     * @return the new histogram
     */
    public GapHistogram withReturn(long gapMillis) {
        return withOne(bucket(gapMillis), 1);
    }

    /**
     * Counts a session that is still away.
     *
     * @param countedMillis time away up to which it has been counted, in milliseconds
     * @param awayMillis time since its last run ended, in milliseconds
     * @return the new histogram
     */
    public GapHistogram withAway(long countedMillis, long awayMillis) {
        GapHistogram histogram = this;
        for (int bucket = bucket(countedMillis); bucket < bucket(awayMillis); bucket++) {
            histogram = histogram.withOne(bucket, 0);
        }
        return histogram;
    }

    private GapHistogram withOne(int bucket, int returned) {
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
     * Returns the probability that a session that has been away for some time returns within the horizon.
     *
     * @param awayMillis time since its last run ended, in milliseconds
     * @param horizonMillis the horizon in milliseconds
     * @return the probability from 0 to 1
     */
    public double returnProbability(long awayMillis, long horizonMillis) {
        double fromSeconds = awayMillis / MILLIS_PER_SECOND;
        double toSeconds = (awayMillis + horizonMillis) / MILLIS_PER_SECOND;
        double logAway = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            double from = bucket == 0 ? 0 : 1L << bucket;
            double to = 1L << (bucket + 1);
            double overlap = Math.min(toSeconds, to) - Math.max(fromSeconds, from);
            if (overlap > 0) {
                logAway += overlap / (to - from) * Math.log(1 - hazard(bucket));
            }
        }
        return 1 - Math.exp(logAway);
    }

    private double hazard(int bucket) {
        return (returns.get(bucket) + PRIOR_EXPOSURE * PRIOR_HAZARD) / (exposures.get(bucket) + PRIOR_EXPOSURE);
    }
}
