package org.cowslipbank.decision.routing;

import java.util.List;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.BlockRef;

/** Decides at an endpoint lookup which blocks are staged at which upstream before the request arrives. */
public final class PrefetchDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<PrefetchInput, RoutingOutcome> PREFETCH =
            new Decision<>("prefetch", PrefetchInput.class, RoutingOutcome.class, PrefetchDecision::choose);

    private PrefetchDecision() {}

    /**
     * Chooses as for the request itself, but with a higher link cost to account for requests that never arrive.
     *
     * @param input the expected request and its probability
     * @return the upstream with the blocks to stage; no blocks if a prefetch is not worth its bytes
     */
    public static RoutingOutcome choose(PrefetchInput input) {
        if (input.requestProbability() <= 0) {
            return RoutingDecision.choose(withRetained(input.expected(), List.of()));
        }
        RoutingInput expected = input.expected();
        DecisionWeights weights = expected.weights();
        DecisionWeights riskAdjusted = new DecisionWeights(
                weights.timeToFirstToken(), weights.recompute(), weights.link() / input.requestProbability());
        RoutingOutcome outcome = RoutingDecision.choose(withWeights(expected, riskAdjusted));
        if (outcome.fetchMillis() <= input.maxWaitMillis()) {
            return outcome;
        }
        int blocksInTime = (int) (outcome.fetch().size() * input.maxWaitMillis() / outcome.fetchMillis());
        return truncateFetch(outcome, blocksInTime);
    }

    private static RoutingOutcome truncateFetch(RoutingOutcome outcome, int blocks) {
        List<BlockRef> fetch = outcome.fetch().subList(0, blocks);
        return new RoutingOutcome(
                outcome.result(),
                outcome.upstream(),
                outcome.localBlocks(),
                fetch,
                outcome.queueMillis(),
                outcome.fetchMillis(),
                outcome.recomputeMillis(),
                outcome.cost());
    }

    private static RoutingInput withWeights(RoutingInput input, DecisionWeights weights) {
        return copy(input, input.retained(), weights);
    }

    private static RoutingInput withRetained(RoutingInput input, List<BlockRef> retained) {
        return copy(input, retained, input.weights());
    }

    private static RoutingInput copy(RoutingInput input, List<BlockRef> retained, DecisionWeights weights) {
        return new RoutingInput(
                input.team(),
                input.model(),
                input.chain(),
                input.promptTokens(),
                input.pieceTokens(),
                retained,
                input.candidates(),
                input.links(),
                weights);
    }
}
