package org.cowslipbank.decision.entries;

import org.cowslipbank.config.TeamLimits;

/**
 * Number of nodes that serve a team. The team's limits are divided between these nodes, so the number is small. It
 * grows with the team's rate, so that no node serves more than a small part of a large team.
 */
public final class TeamNodes {
    /** Minimum number of nodes for a team, so that one is left while another is replaced and a third fails. */
    public static final int MIN_NODES = 3;

    // About a node's share of the peak load at the target size: 5,200 requests a second over 340 nodes.
    private static final double REQUESTS_PER_SECOND_AND_NODE = 15;

    private TeamNodes() {}

    /**
     * Returns the number of nodes that serve a team.
     *
     * @param limits the team's limits over the whole fleet
     * @param workingNodes number of nodes that take work
     * @return the number, at least one
     */
    public static int count(TeamLimits limits, int workingNodes) {
        int nodesForRate =
                (int) Math.ceil(Math.min(limits.requestsPerSecond() / REQUESTS_PER_SECOND_AND_NODE, workingNodes));
        return Math.max(1, Math.min(workingNodes, Math.max(MIN_NODES, nodesForRate)));
    }
}
