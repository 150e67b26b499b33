package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;

/**
 * Progress of a foreground fetch.
 *
 * @param blocksLeft blocks planned and not yet received
 * @param expectedBlockMillis time for one block at the link's measured rate
 * @param sinceLastBlockMillis time since the last block arrived, or since the fetch began
 * @param queueMillis time the prompt would wait at the upstream in any case
 * @param recomputeBlockMillis time to recompute one block at the upstream
 * @param weights what the deployment weighs
 */
public record FetchProgress(
        int blocksLeft,
        double expectedBlockMillis,
        double sinceLastBlockMillis,
        double queueMillis,
        double recomputeBlockMillis,
        DecisionWeights weights) {}
