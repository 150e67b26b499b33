package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;

/**
 * Progress of a foreground fetch.
 *
 * @param blocksPlanned blocks of the fetch
 * @param blocksReceived blocks that have arrived
 * @param expectedBlockMillis time for one block at the rate measured when the fetch began
 * @param sinceFirstBlockMillis time since its first block arrived, zero before
 * @param linkSilentMillis time since any block arrived over the link, or since the fetch began if that is later
 * @param queueMillis time the prompt would still wait at the upstream in any case
 * @param linkUseBlockMillis time for one block at the link's configured rate
 * @param recomputeBlockMillis time to recompute one block at the upstream
 * @param promptRecomputeMillis time to compute the whole prompt at the upstream without the store
 * @param weights what the deployment weighs
 */
public record FetchProgress(
        int blocksPlanned,
        int blocksReceived,
        double expectedBlockMillis,
        double sinceFirstBlockMillis,
        double linkSilentMillis,
        double queueMillis,
        double linkUseBlockMillis,
        double recomputeBlockMillis,
        double promptRecomputeMillis,
        DecisionWeights weights) {
    int blocksLeft() {
        return blocksPlanned - blocksReceived;
    }

    /** Time for one block as the fetch has shown it; the wait before the first block says nothing about the rate. */
    double shownBlockMillis() {
        return blocksReceived < 2 ? 0 : sinceFirstBlockMillis / (blocksReceived - 1);
    }
}
