package org.cowslipbank.decision.routing;

import java.util.Arrays;
import java.util.List;

import org.cowslipbank.config.DecisionWeights;

/** Finds the best split point of one candidate. Holds the best candidate seen so far. */
final class CandidateCost {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RoutingInput input;
    private final RetainedPrefix prefix;
    private final double[] linkMillis;
    private Candidate best;
    private int bestLocal;
    private int bestSplit;
    private double bestQueueMillis;
    private double bestFetchMillis;
    private double bestRecomputeMillis;
    private double bestCost = Double.POSITIVE_INFINITY;

    CandidateCost(RoutingInput input) {
        this.input = input;
        this.prefix = RetainedPrefix.of(input);
        this.linkMillis = new double[input.links().size()];
    }

    void offer(Candidate candidate) {
        int local = Math.min(candidate.localBlocks(), input.chain().size());
        double queueMillis = queueMillis(candidate);
        consider(candidate, local, local, queueMillis, 0, 0);
        Arrays.fill(linkMillis, 0);
        double fetchMillis = 0;
        double linkUseMillis = 0;
        for (int block = local; block < prefix.length(); block++) {
            int link = prefix.linkIndex(block);
            if (linkMillis[link] == 0) {
                linkMillis[link] = prefix.startMillis(link);
            }
            linkMillis[link] += prefix.transferMillis(block);
            linkUseMillis += prefix.linkUseMillis(block);
            fetchMillis = Math.max(fetchMillis, linkMillis[link]);
            consider(candidate, local, block + 1, queueMillis, fetchMillis, linkUseMillis);
        }
    }

    // The fetch runs while the prompt waits for its turn, so the longer of the two counts.
    private void consider(
            Candidate candidate, int local, int split, double queueMillis, double fetchMillis, double linkUseMillis) {
        double recomputeMillis = recomputeMillis(candidate, split);
        double firstTokenMillis = 2 * candidate.distanceMillis() + Math.max(queueMillis, fetchMillis) + recomputeMillis;
        DecisionWeights weights = input.weights();
        double cost = weights.timeToFirstToken() * firstTokenMillis
                + weights.recompute() * recomputeMillis
                + weights.link() * linkUseMillis;
        if (cost >= bestCost) {
            return;
        }
        best = candidate;
        bestLocal = local;
        bestSplit = split;
        bestQueueMillis = queueMillis;
        bestFetchMillis = fetchMillis;
        bestRecomputeMillis = recomputeMillis;
        bestCost = cost;
    }

    private static double queueMillis(Candidate candidate) {
        long tokens = candidate.waitingPromptTokens() + candidate.sentPromptTokens();
        return tokens * MILLIS_PER_SECOND / candidate.prefillTokensPerSecond();
    }

    private double recomputeMillis(Candidate candidate, int split) {
        // At least the last token is computed, because it yields the first token of the answer.
        long tokens = Math.max(1, input.promptTokens() - (long) split * input.pieceTokens());
        return tokens * MILLIS_PER_SECOND / candidate.prefillTokensPerSecond();
    }

    RoutingOutcome outcome() {
        return new RoutingOutcome(
                RoutingOutcome.Result.CHOSEN,
                best.upstream(),
                bestLocal,
                bestSplit == bestLocal ? List.of() : prefix.between(bestLocal, bestSplit),
                bestQueueMillis,
                bestFetchMillis,
                bestRecomputeMillis,
                bestCost);
    }
}
