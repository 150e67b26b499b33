package org.cowslipbank.decision.routing;

import java.util.Arrays;
import java.util.List;

import org.cowslipbank.config.DecisionWeights;

/**
 * Finds the candidate and split point with the lowest cost. The split point separates fetched from recomputed blocks.
 */
final class SplitPointSearch {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RoutingInput input;
    private final RetainedPrefix prefix;
    private final double[] arrivalMillisByLink;
    private RoutingCandidate best;
    private int bestLocalBlocks;
    private int bestSplitBlock;
    private double bestQueueMillis;
    private double bestFetchMillis;
    private double bestRecomputeMillis;
    private double bestCost = Double.POSITIVE_INFINITY;

    SplitPointSearch(RoutingInput input) {
        this.input = input;
        this.prefix = RetainedPrefix.of(input);
        this.arrivalMillisByLink = new double[input.links().size()];
    }

    void evaluate(RoutingCandidate candidate) {
        int localBlocks = Math.min(candidate.localBlocks(), input.chain().size());
        double queueMillis = queueMillis(candidate);
        keepIfCheaper(candidate, localBlocks, localBlocks, queueMillis, 0, 0);
        Arrays.fill(arrivalMillisByLink, 0);
        double fetchMillis = 0;
        double linkUseMillis = 0;
        for (int block = localBlocks; block < prefix.length(); block++) {
            int link = prefix.linkIndex(block);
            if (arrivalMillisByLink[link] == 0) {
                arrivalMillisByLink[link] = prefix.firstByteMillis(link);
            }
            arrivalMillisByLink[link] += prefix.transferMillis(block);
            linkUseMillis += prefix.linkUseMillis(block);
            fetchMillis = Math.max(fetchMillis, arrivalMillisByLink[link]);
            keepIfCheaper(candidate, localBlocks, block + 1, queueMillis, fetchMillis, linkUseMillis);
        }
    }

    // The fetch runs while the prompt waits in the queue, so only the longer of the two counts.
    private void keepIfCheaper(
            RoutingCandidate candidate,
            int localBlocks,
            int splitBlock,
            double queueMillis,
            double fetchMillis,
            double linkUseMillis) {
        double recomputeMillis = recomputeMillis(candidate, splitBlock);
        double firstTokenMillis = 2 * candidate.distanceMillis() + Math.max(queueMillis, fetchMillis) + recomputeMillis;
        DecisionWeights weights = input.weights();
        double cost = weights.timeToFirstToken() * firstTokenMillis
                + weights.recompute() * recomputeMillis
                + weights.link() * linkUseMillis;
        if (cost >= bestCost) {
            return;
        }
        best = candidate;
        bestLocalBlocks = localBlocks;
        bestSplitBlock = splitBlock;
        bestQueueMillis = queueMillis;
        bestFetchMillis = fetchMillis;
        bestRecomputeMillis = recomputeMillis;
        bestCost = cost;
    }

    private static double queueMillis(RoutingCandidate candidate) {
        long tokens = candidate.waitingPromptTokens() + candidate.sentPromptTokens();
        return tokens * MILLIS_PER_SECOND / candidate.prefillTokensPerSecond();
    }

    private double recomputeMillis(RoutingCandidate candidate, int splitBlock) {
        // The last prompt token is always computed, because its output is the first token of the answer.
        long tokens = Math.max(1, input.promptTokens() - (long) splitBlock * input.pieceTokens());
        return tokens * MILLIS_PER_SECOND / candidate.prefillTokensPerSecond();
    }

    RoutingOutcome outcome() {
        return new RoutingOutcome(
                RoutingOutcome.Result.CHOSEN,
                best.upstream(),
                bestLocalBlocks,
                bestSplitBlock == bestLocalBlocks ? List.of() : prefix.blocksBetween(bestLocalBlocks, bestSplitBlock),
                bestQueueMillis,
                bestFetchMillis,
                bestRecomputeMillis,
                bestCost);
    }
}
