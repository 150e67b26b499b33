package org.cowslipbank.decision.routing;

import org.cowslipbank.config.DecisionWeights;

/**
 * Progress of a foreground fetch.
 *
 * @param blocksLeft blocks planned and not yet received
 * @param blocksAhead blocks of this node's other foreground transfers that go first
 * @param expectedBlockMillis time for one block at the link's measured rate
 * @param linkUseBlockMillis time for one block at the link's configured rate
 * @param linkSilentMillis time since any block arrived over the link, or since the fetch began if that is later
 * @param queueMillis time the prompt would still wait at the upstream in any case
 * @param recomputeBlockMillis time to recompute one block at the upstream
 * @param weights what the deployment weighs
 */
public record FetchProgress(
        int blocksLeft,
        int blocksAhead,
        double expectedBlockMillis,
        double linkUseBlockMillis,
        double linkSilentMillis,
        double queueMillis,
        double recomputeBlockMillis,
        DecisionWeights weights) {}
