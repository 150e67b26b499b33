package org.cowslipbank.decision.routing;

import java.util.List;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.TeamId;

/**
 * Snapshot on which the choice of an upstream is based.
 *
 * @param team the team of the request
 * @param model the model, weight version and adapter of the request
 * @param chain identities of the prompt's complete pieces, in prompt order
 * @param promptTokens estimated tokens of the whole prompt
 * @param pieceTokens estimated tokens of one piece
 * @param retained committed blocks reported by stores or hints, in prompt order; a block may occur once per store
 * @param candidates upstreams to choose from, see {@link RoutingDecision#subset}
 * @param links the links of the stores
 * @param weights cost weights of the deployment
 */
public record RoutingInput(
        TeamId team,
        ModelRef model,
        List<BlockIdentity> chain,
        int promptTokens,
        int pieceTokens,
        List<BlockRef> retained,
        List<RoutingCandidate> candidates,
        List<StoreLink> links,
        DecisionWeights weights) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public RoutingInput {
        chain = List.copyOf(chain);
        retained = List.copyOf(retained);
        candidates = List.copyOf(candidates);
        links = List.copyOf(links);
    }
}
