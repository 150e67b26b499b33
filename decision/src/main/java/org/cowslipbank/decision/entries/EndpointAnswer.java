package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Answer of the endpoint lookup.
 *
 * @param nodes the nodes in the order in which the caller tries them
 * @param validMillis how long the caller may use the answer, in milliseconds
 * @param validUntilMillis time at which the answer expires, on the answering node's clock in milliseconds
 */
public record EndpointAnswer(List<NodeAddress> nodes, long validMillis, long validUntilMillis) {
    /** Makes an unmodifiable copy of the nodes; null elements are rejected with NullPointerException. */
    public EndpointAnswer {
        nodes = List.copyOf(nodes);
    }
}
