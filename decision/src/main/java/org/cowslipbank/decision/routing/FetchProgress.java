package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;

/**
 * Progress of a fetch for which a request is waiting. All times are in milliseconds.
 *
 * @param blocksPlanned total number of blocks of the fetch
 * @param blocksReceived number of blocks that have arrived
 * @param expectedBlockMillis time for one block at the link rate measured when the fetch began
 * @param sinceFirstBlockMillis time since its first block arrived, zero until then
 * @param linkSilentMillis time since the last block of any transfer arrived over the link, or since the fetch began if
 *     that is later
 * @param queueMillis time that the prompt still has to wait in the upstream's queue anyway
 * @param linkUseBlockMillis time for one block at the link's configured rate
 * @param recomputeBlockMillis time to recompute one block at the upstream
 * @param promptRecomputeMillis time to compute the whole prompt at the upstream without the store
 * @param weights cost weights of the deployment
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

    /**
     * Returns the observed time for one block, zero if unknown. The wait for the first block is left out, because it
     * says nothing about the rate.
     */
    double observedBlockMillis() {
        return blocksReceived < 2 ? 0 : sinceFirstBlockMillis / (blocksReceived - 1);
    }
}
