package org.cowslipbank.decision.entries;

import org.cowslipbank.config.TeamLimits;

/**
 * How many nodes serve a team. A team's limits are divided by this number, so it is small; it grows with the team's
 * rate, so that no node carries more than a small part of a large team.
 */
public final class TeamNodes {
    /** Fewest nodes of a team, so that one stays while another is replaced and a third fails. */
    public static final int MIN_NODES = 3;

    // Near a node's share of the peak at the target size: 5,200 requests a second over 340 nodes.
    private static final double REQUESTS_PER_SECOND_AND_NODE = 15;

    private TeamNodes() {}

    /**
     * Returns the number of nodes that serve a team.
     *
     * @param limits the team's limits over the whole fleet
     * @param workingNodes nodes that take work
     * @return the number, at least one
     */
    public static int count(TeamLimits limits, int workingNodes) {
        int byRate = (int) Math.ceil(Math.min(limits.requestsPerSecond() / REQUESTS_PER_SECOND_AND_NODE, workingNodes));
        return Math.max(1, Math.min(workingNodes, Math.max(MIN_NODES, byRate)));
    }
}
