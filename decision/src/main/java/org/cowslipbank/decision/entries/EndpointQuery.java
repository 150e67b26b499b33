package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.TeamId;

/**
 * Input of the endpoint lookup.
 *
 * @param team the caller's team
 * @param session the session key, empty if the caller names none
 * @param dataCentre the caller's data centre; its nodes come first
 * @param nodes the nodes in this node's membership view
 * @param confirmed true if the view has been confirmed since this node's start or last pause: by answered probes, or by
 *     the platform if this node knows no other nodes
 * @param teamNodes number of nodes that serve the team, see {@link TeamNodes}
 * @param limit maximum number of nodes in the answer
 * @param validMillis how long a caller may use an answer from a confirmed view, in milliseconds
 * @param nowMillis current time in milliseconds
 */
public record EndpointQuery(
        TeamId team,
        String session,
        DataCentreId dataCentre,
        List<FleetNode> nodes,
        boolean confirmed,
        int teamNodes,
        int limit,
        long validMillis,
        long nowMillis) {
    /** Makes an unmodifiable copy of the nodes; null elements are rejected with NullPointerException. */
    public EndpointQuery {
        nodes = List.copyOf(nodes);
    }
}
