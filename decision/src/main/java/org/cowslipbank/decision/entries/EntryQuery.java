package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.TeamId;

/**
 * Input of an address lookup.
 *
 * @param team the team
 * @param session the session key, empty if the caller names none
 * @param dataCentre the caller's data centre; its nodes come first
 * @param nodes the nodes as this node sees them
 * @param confirmed whether this node's view is confirmed
 * @param teamNodes nodes that serve the team, see {@link TeamNodes}
 * @param limit the most nodes in the answer
 * @param validMillis how long a caller may keep the answer, in milliseconds
 * @param nowMillis the time
 */
public record EntryQuery(
        TeamId team,
        String session,
        DataCentreId dataCentre,
        List<FleetNode> nodes,
        boolean confirmed,
        int teamNodes,
        int limit,
        long validMillis,
        long nowMillis) {
    /** Copies the nodes. */
    public EntryQuery {
        nodes = List.copyOf(nodes);
    }
}
