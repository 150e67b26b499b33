package org.cowslipbank.decision.retention;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * How long a team's sessions stay away. Bucket {@code i} counts gaps from {@code 2^i} to {@code 2^(i+1)} seconds; the
 * first also counts shorter ones and the last longer ones (about 12 days).
 *
 * @param runs finished runs, including those that have not been followed by a return
 * @param returns returns by length of the gap
 */
public record GapHistogram(double runs, List<Double> returns) {
    /** Number of buckets. */
    public static final int BUCKETS = 21;

    // With no runs seen yet, half of all sessions are expected back, evenly over the buckets. A prior of four runs is
    // overruled by a team's first dozen runs.
    private static final double PRIOR_RUNS = 4;
    private static final double PRIOR_RETURNS = 2;
    // Older observations fade once a team has this many runs, so that a change of habit shows.
    private static final double MAX_RUNS = 4_096;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the list. */
    public GapHistogram {
        returns = List.copyOf(returns);
    }

    /**
     * Returns a histogram without observations.
     *
     * @return the histogram
     */
    public static GapHistogram empty() {
        return new GapHistogram(0, Collections.nCopies(BUCKETS, 0.0));
    }

    /**
     * Counts a finished run.
     *
     * @return the new histogram
     */
    public GapHistogram withRun() {
        GapHistogram base = runs < MAX_RUNS ? this : halved();
        return new GapHistogram(base.runs + 1, base.returns);
    }

    /**
     * Counts a return.
     *
     * @param gapMillis time since the session's last run ended, in milliseconds
     * @return the new histogram
     */
    public GapHistogram withReturn(long gapMillis) {
        List<Double> counts = new ArrayList<>(returns);
        int bucket = bucket(gapMillis);
        counts.set(bucket, counts.get(bucket) + 1);
        return new GapHistogram(runs, counts);
    }

    private GapHistogram halved() {
        return new GapHistogram(
                runs / 2, returns.stream().map(count -> count / 2).toList());
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
        double returnedBefore = returnsUpTo(awayMillis);
        double returnedWithin = returnsUpTo(awayMillis + horizonMillis) - returnedBefore;
        double stillAway = runs + PRIOR_RUNS - returnedBefore;
        return stillAway <= 0 ? 0 : Math.max(0, Math.min(1, returnedWithin / stillAway));
    }

    // Gaps are taken as evenly spread within a bucket.
    private double returnsUpTo(long millis) {
        double seconds = millis / MILLIS_PER_SECOND;
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            double from = i == 0 ? 0 : 1L << i;
            double to = 1L << (i + 1);
            double share = Math.max(0, Math.min(1, (seconds - from) / (to - from)));
            sum += share * (returns.get(i) + PRIOR_RETURNS / BUCKETS);
        }
        return sum;
    }
}
