package org.cowslipbank.entry.claims;

import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** Carries a request to another node, which hands it to {@link ClaimService#serve}. */
@FunctionalInterface
public interface ClaimForwarder {
    /**
     * Forwards a request.
     *
     * @param node the node
     * @param request the request
     * @return the node's outcome; an error if it could not be reached, fell silent or the answer was lost
     */
    Mono<ClaimOutcome> forward(VmId node, PartitionRequest request);
}
