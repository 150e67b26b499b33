package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;

/** Decides whether a fetch that is slower than estimated is cancelled and the remaining blocks are recomputed. */
public final class FetchDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<FetchProgress, FetchVerdict> OVERTAKE =
            new Decision<>("overtake", FetchProgress.class, FetchVerdict.class, FetchDecision::check);

    // Nodes share a link without coordination, so blocks arrive irregularly; a smaller factor would react to noise.
    private static final double BEHIND_BLOCK_TIMES = 8;
    // Hysteresis: without it a fetch that costs as much as recompute would be cancelled at the first slow block.
    private static final double OVERTAKE_COST_RATIO = 1.25;
    // A link that is silent for this multiple of the expected block time, and at least for the minimum, is treated as
    // dead. Up to 16 blocks of other nodes may be ahead on a healthy link, and taking down a healthy link is expensive.
    private static final double SILENT_BLOCK_TIMES = 16;
    private static final double MIN_SILENT_MILLIS = 2_000;
    private static final double MIN_CHECK_INTERVAL_MILLIS = 5;

    private FetchDecision() {}

    /**
     * Compares the cost of fetching the remaining blocks at the observed rate with the cost of recomputing them. Once
     * the link has been silent for as long as computing the whole prompt without the store would take, the fetch ends
     * regardless of the weights: a prompt never waits longer for a dead store than recompute takes.
     *
     * @param progress the progress of the fetch
     * @return whether to cancel the fetch, and when to check again
     */
    public static FetchVerdict check(FetchProgress progress) {
        double recomputeTimeoutMillis = progress.promptRecomputeMillis();
        boolean timedOut = progress.linkSilentMillis() >= recomputeTimeoutMillis;
        boolean silent = progress.linkSilentMillis() >= silentAfterMillis(progress.expectedBlockMillis());
        boolean behind = progress.observedBlockMillis() >= BEHIND_BLOCK_TIMES * progress.expectedBlockMillis();
        boolean recompute = timedOut || silent || behind && costsMoreThanRecompute(progress);
        double untilTimeoutMillis = recomputeTimeoutMillis - progress.linkSilentMillis();
        double checkAfterMillis =
                Math.max(MIN_CHECK_INTERVAL_MILLIS, Math.min(progress.expectedBlockMillis(), untilTimeoutMillis));
        return new FetchVerdict(recompute, silent, checkAfterMillis);
    }

    /**
     * Returns how long a link may deliver nothing before its store is treated as dead.
     *
     * @param expectedBlockMillis time for one block at the link's measured rate, in milliseconds
     * @return the timeout in milliseconds
     */
    public static double silentAfterMillis(double expectedBlockMillis) {
        return Math.max(SILENT_BLOCK_TIMES * expectedBlockMillis, MIN_SILENT_MILLIS);
    }

    private static boolean costsMoreThanRecompute(FetchProgress progress) {
        DecisionWeights weights = progress.weights();
        int remainingBlocks = progress.blocksLeft();
        double waitMillis = Math.max(0, remainingBlocks * progress.observedBlockMillis() - progress.queueMillis());
        double fetchCost = weights.timeToFirstToken() * waitMillis
                + weights.link() * remainingBlocks * progress.linkUseBlockMillis();
        double recomputeMillis = remainingBlocks * progress.recomputeBlockMillis();
        double recomputeCost = (weights.timeToFirstToken() + weights.recompute()) * recomputeMillis;
        return fetchCost > OVERTAKE_COST_RATIO * recomputeCost;
    }
}
