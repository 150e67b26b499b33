package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.TeamId;

/** Derives the share of a team's fleet-wide limits that applies at one node. */
public final class TeamShares {
    /** Age in milliseconds above which a demand report of another node is ignored. */
    static final long DEMAND_VALID_MILLIS = 3_000;

    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, TeamShare> DECISION =
            new Decision<>("team_share", Input.class, TeamShare.class, TeamShares::derive);

    private TeamShares() {}

    /**
     * Demand of a team as reported by another node of its subset.
     *
     * @param requestsPerSecond requests received per second, including refused ones
     * @param ageMillis age of the report in milliseconds
     */
    public record Demand(double requestsPerSecond, long ageMillis) {}

    /**
     * Input of the decision.
     *
     * @param team the team
     * @param limits the team's limits for the whole fleet
     * @param subsetSize number of nodes in the team's subset, including this one
     * @param ownRequestsPerSecond requests received by this node per second, including refused ones
     * @param others reports of the other nodes; a node without a report counts as using its whole share
     */
    public record Input(
            TeamId team, TeamLimits limits, int subsetSize, double ownRequestsPerSecond, List<Demand> others) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Input {
            others = List.copyOf(others);
        }
    }

    /**
     * Returns the even share of the limits plus this node's part of the rate that other nodes leave unused. The unused
     * rate is divided in proportion to the demand above the even share, so the shares add up to the limit as long as
     * the nodes have consistent reports.
     *
     * @param input the limits and the demand at each node
     * @return the share at this node
     */
    public static TeamShare derive(Input input) {
        int nodes = Math.max(1, input.subsetSize());
        double evenShare = input.limits().requestsPerSecond() / nodes;
        double unused = 0;
        double excess = Math.max(0, input.ownRequestsPerSecond() - evenShare);
        double totalExcess = excess;
        for (Demand demand : input.others()) {
            if (demand.ageMillis() > DEMAND_VALID_MILLIS) {
                continue;
            }
            unused += Math.max(0, evenShare - demand.requestsPerSecond());
            totalExcess += Math.max(0, demand.requestsPerSecond() - evenShare);
        }
        double borrowed = totalExcess > 0 ? Math.min(excess, unused * excess / totalExcess) : 0;
        double scale = evenShare > 0 ? (evenShare + borrowed) / input.limits().requestsPerSecond() : 1.0 / nodes;
        int concurrent = (int) Math.ceil(input.limits().concurrentRequests() * scale);
        return new TeamShare(
                input.team(),
                evenShare + borrowed,
                Math.max(1, input.limits().burstRequests() * scale),
                Math.max(1, concurrent),
                input.limits().weight());
    }
}
