package org.cowslipbank.entry.claims;

import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** Sends a request to another node, which passes it to {@link ClaimService#serve}. */
@FunctionalInterface
public interface ClaimForwarder {
    /**
     * Forwards a request to a partition's owner.
     *
     * @param node the node to send it to
     * @param request the claim, finish or release
     * @return the node's outcome; an error if the node cannot be reached or its response does not arrive
     */
    Mono<ClaimOutcome> forward(VmId node, PartitionRequest request);
}
