package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;

/** Decides whether a fetch that falls behind its estimate is overtaken by recompute. */
public final class FetchDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<FetchProgress, FetchVerdict> OVERTAKE =
            new Decision<>("overtake", FetchProgress.class, FetchVerdict.class, FetchDecision::check);

    // Blocks arrive irregularly on a shared link; a gap below this factor of the expected time says nothing.
    private static final double LATE_FACTOR = 3;
    // A store that is silent for this factor of the expected time and at least the floor is treated as dead.
    private static final double SILENT_FACTOR = 8;
    private static final double SILENT_FLOOR_MILLIS = 250;
    private static final double MIN_CHECK_MILLIS = 5;

    private FetchDecision() {}

    /**
     * Compares the pessimistic rest of the fetch with recomputing it. Once the time since the last block reaches the
     * time that recomputing everything left would take, the fetch always ends, whatever the weights: a prompt never
     * waits longer for a dead store than recompute takes.
     *
     * @param progress the progress
     * @return the verdict
     */
    public static FetchVerdict check(FetchProgress progress) {
        double waited = progress.sinceLastBlockMillis();
        double expected = progress.expectedBlockMillis();
        double recompute = progress.blocksLeft() * progress.recomputeBlockMillis();
        boolean silent = waited >= Math.max(SILENT_FACTOR * expected, SILENT_FLOOR_MILLIS);
        boolean outOfTime = waited >= recompute;
        boolean late = waited >= LATE_FACTOR * expected;
        boolean cheaper = late && costsMoreThanRecompute(progress, recompute);
        return new FetchVerdict(outOfTime || cheaper, silent, checkAfterMillis(progress, recompute));
    }

    private static boolean costsMoreThanRecompute(FetchProgress progress, double recomputeMillis) {
        double linkMillis =
                progress.blocksLeft() * Math.max(progress.expectedBlockMillis(), progress.sinceLastBlockMillis());
        DecisionWeights weights = progress.weights();
        double waitMillis = Math.max(0, linkMillis - progress.queueMillis());
        double fetchCost = weights.timeToFirstToken() * waitMillis
                + weights.link() * progress.blocksLeft() * progress.expectedBlockMillis();
        double recomputeCost = (weights.timeToFirstToken() + weights.recompute()) * recomputeMillis;
        return fetchCost > recomputeCost;
    }

    private static double checkAfterMillis(FetchProgress progress, double recomputeMillis) {
        double untilLate = LATE_FACTOR * progress.expectedBlockMillis() - progress.sinceLastBlockMillis();
        double untilOut = recomputeMillis - progress.sinceLastBlockMillis();
        double next =
                untilLate > 0 ? Math.min(untilLate, untilOut) : Math.min(progress.expectedBlockMillis(), untilOut);
        return Math.max(MIN_CHECK_MILLIS, next);
    }
}
