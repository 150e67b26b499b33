package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;

/**
 * Progress of a foreground fetch.
 *
 * @param blocksPlanned blocks of the fetch
 * @param blocksReceived blocks that have arrived
 * @param plannedMillis time that the whole fetch was expected to take when it began
 * @param elapsedMillis time since it began
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
        double plannedMillis,
        double elapsedMillis,
        double linkSilentMillis,
        double queueMillis,
        double linkUseBlockMillis,
        double recomputeBlockMillis,
        double promptRecomputeMillis,
        DecisionWeights weights) {
    int blocksLeft() {
        return blocksPlanned - blocksReceived;
    }

    double plannedBlockMillis() {
        return plannedMillis / blocksPlanned;
    }
}
