package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;

/** Decides whether a fetch that falls behind its estimate is overtaken by recompute. */
public final class FetchDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<FetchProgress, FetchVerdict> OVERTAKE =
            new Decision<>("overtake", FetchProgress.class, FetchVerdict.class, FetchDecision::check);

    // Nodes share a link without coordination, so blocks arrive irregularly; a smaller delay says nothing.
    private static final double BEHIND_FACTOR = 8;
    // Hysteresis: without it a fetch whose cost equals that of recompute would be cancelled at the first slow block.
    private static final double OVERTAKE_MARGIN = 1.25;
    // A link that is silent for this factor of the expected time, and at least the floor, is treated as dead. Sixteen
    // blocks of other nodes may be ahead on a healthy link, and closing a healthy link is dear.
    private static final double SILENT_FACTOR = 16;
    private static final double SILENT_FLOOR_MILLIS = 2_000;
    private static final double MIN_CHECK_MILLIS = 5;

    private FetchDecision() {}

    /**
     * Compares the rest of a fetch that is behind its estimate, at the rate it has shown, with recomputing that rest.
     * Once the link has been silent for the time that computing the prompt without the store would take, the fetch ends whatever
     * the weights: a prompt never waits longer for a dead store than recompute takes.
     *
     * @param progress the progress
     * @return the verdict
     */
    public static FetchVerdict check(FetchProgress progress) {
        double outOfTimeMillis = progress.promptRecomputeMillis();
        boolean outOfTime = progress.linkSilentMillis() >= outOfTimeMillis;
        boolean silent = progress.linkSilentMillis() >= silentAfterMillis(progress.expectedBlockMillis());
        boolean behind = progress.shownBlockMillis() >= BEHIND_FACTOR * progress.expectedBlockMillis();
        boolean recompute = outOfTime || silent || behind && costsMoreThanRecompute(progress);
        double untilOutOfTime = outOfTimeMillis - progress.linkSilentMillis();
        double checkAfterMillis = Math.max(MIN_CHECK_MILLIS, Math.min(progress.expectedBlockMillis(), untilOutOfTime));
        return new FetchVerdict(recompute, silent, checkAfterMillis);
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

    private static boolean costsMoreThanRecompute(FetchProgress progress) {
        DecisionWeights weights = progress.weights();
        int left = progress.blocksLeft();
        double waitMillis = Math.max(0, left * progress.shownBlockMillis() - progress.queueMillis());
        double fetchCost =
                weights.timeToFirstToken() * waitMillis + weights.link() * left * progress.linkUseBlockMillis();
        double recomputeMillis = left * progress.recomputeBlockMillis();
        double recomputeCost = (weights.timeToFirstToken() + weights.recompute()) * recomputeMillis;
        return fetchCost > OVERTAKE_MARGIN * recomputeCost;
    }
}
