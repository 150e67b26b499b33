package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.TeamId;

/** Derives a node's share of a team's limits. */
public final class TeamShares {
    /** Age beyond which a report of another node's demand is not used, in milliseconds. */
    static final long DEMAND_VALID_MILLIS = 3_000;

    /** The decision, to be recorded and replayed. */
    public static final Decision<Input, TeamShare> DECISION =
            new Decision<>("team_share", Input.class, TeamShare.class, TeamShares::share);

    private TeamShares() {}

    /**
     * What another node of the subset reported about a team.
     *
     * @param requestsPerSecond requests offered a second, refused ones included
     * @param ageMillis age of the report in milliseconds
     */
    public record Demand(double requestsPerSecond, long ageMillis) {}

    /**
     * Input of the decision.
     *
     * @param team the team
     * @param limits the team's limits over the whole fleet
     * @param subsetSize nodes of the team's subset, this one included
     * @param ownRequestsPerSecond requests offered here a second, refused ones included
     * @param others reports of the other nodes; a node without a report counts as using its share
     */
    public record Input(
            TeamId team, TeamLimits limits, int subsetSize, double ownRequestsPerSecond, List<Demand> others) {
        /** Copies the list. */
        public Input {
            others = List.copyOf(others);
        }
    }

    /**
     * Returns the share: the even part of the limits, plus this node's part of what the other nodes leave unused. The
     * unused rate is divided in proportion to demand beyond the even share, so the shares add up to the limit when the
     * reports agree.
     *
     * @param input the input
     * @return the share at this node
     */
    public static TeamShare share(Input input) {
        int nodes = Math.max(1, input.subsetSize());
        double even = input.limits().requestsPerSecond() / nodes;
        double unused = 0;
        double excess = Math.max(0, input.ownRequestsPerSecond() - even);
        double totalExcess = excess;
        for (Demand demand : input.others()) {
            if (demand.ageMillis() > DEMAND_VALID_MILLIS) {
                continue;
            }
            unused += Math.max(0, even - demand.requestsPerSecond());
            totalExcess += Math.max(0, demand.requestsPerSecond() - even);
        }
        double lent = totalExcess > 0 ? Math.min(excess, unused * excess / totalExcess) : 0;
        double scale = even > 0 ? (even + lent) / input.limits().requestsPerSecond() : 1.0 / nodes;
        int concurrent = (int) Math.ceil(input.limits().concurrentRequests() * scale);
        return new TeamShare(
                input.team(),
                even + lent,
                Math.max(1, input.limits().burstRequests() * scale),
                Math.max(1, concurrent),
                input.limits().weight());
    }
}
