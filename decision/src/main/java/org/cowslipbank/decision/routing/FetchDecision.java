package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;

/** Decides whether a fetch that falls behind its estimate is overtaken by recompute. */
public final class FetchDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<FetchProgress, FetchVerdict> OVERTAKE =
            new Decision<>("overtake", FetchProgress.class, FetchVerdict.class, FetchDecision::check);

    // Nodes share a link without coordination, so blocks arrive irregularly; a shorter silence says nothing.
    private static final double LATE_FACTOR = 3;
    // Hysteresis: without it a fetch whose cost equals that of recompute would be cancelled at the first slow block.
    private static final double OVERTAKE_MARGIN = 1.25;
    // A link that is silent for this factor of the expected time, and at least the floor, is treated as dead.
    private static final double SILENT_FACTOR = 16;
    private static final double SILENT_FLOOR_MILLIS = 500;
    private static final double MIN_CHECK_MILLIS = 5;

    private FetchDecision() {}

    /**
     * Compares the rest of the fetch at the link's present rate with recomputing it. Once the link has been silent for
     * the time that recomputing everything left would take, the fetch ends whatever the weights: a prompt never waits
     * longer for a dead store than recompute takes.
     *
     * @param progress the progress
     * @return the verdict
     */
    public static FetchVerdict check(FetchProgress progress) {
        double recomputeMillis = progress.blocksLeft() * progress.recomputeBlockMillis();
        boolean late = progress.linkSilentMillis() >= LATE_FACTOR * progress.expectedBlockMillis();
        boolean outOfTime = late && progress.linkSilentMillis() >= recomputeMillis;
        boolean dearer = fetchCost(progress, late) > OVERTAKE_MARGIN * recomputeCost(progress, recomputeMillis);
        boolean silent = progress.linkSilentMillis() >= silentAfterMillis(progress.expectedBlockMillis());
        return new FetchVerdict(outOfTime || dearer || silent, silent, checkAfterMillis(progress, recomputeMillis));
    }

    /**
     * Returns how long a link may deliver nothing before its store is treated as dead.
     *
     * @param expectedBlockMillis time for one block at the link's measured rate
     * @return the time in milliseconds
     */
    public static double silentAfterMillis(double expectedBlockMillis) {
        return Math.max(SILENT_FACTOR * expectedBlockMillis, SILENT_FLOOR_MILLIS);
    }

    private static double fetchCost(FetchProgress progress, boolean late) {
        double blockMillis = late ? progress.linkSilentMillis() : progress.expectedBlockMillis();
        double arrivalMillis = (progress.blocksAhead() + progress.blocksLeft()) * blockMillis;
        double waitMillis = Math.max(0, arrivalMillis - progress.queueMillis());
        DecisionWeights weights = progress.weights();
        double linkUseMillis = progress.blocksLeft() * progress.linkUseBlockMillis();
        return weights.timeToFirstToken() * waitMillis + weights.link() * linkUseMillis;
    }

    private static double recomputeCost(FetchProgress progress, double recomputeMillis) {
        return (progress.weights().timeToFirstToken() + progress.weights().recompute()) * recomputeMillis;
    }

    private static double checkAfterMillis(FetchProgress progress, double recomputeMillis) {
        double lateMillis = LATE_FACTOR * progress.expectedBlockMillis();
        double untilLate = lateMillis - progress.linkSilentMillis();
        if (untilLate > 0) {
            return Math.max(MIN_CHECK_MILLIS, untilLate);
        }
        double untilOutOfTime = recomputeMillis - progress.linkSilentMillis();
        return Math.max(MIN_CHECK_MILLIS, Math.min(progress.expectedBlockMillis(), untilOutOfTime));
    }
}
