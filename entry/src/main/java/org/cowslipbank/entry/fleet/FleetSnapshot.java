package org.cowslipbank.entry.fleet;

import java.util.List;

import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.entries.DutyAnswer;
import org.cowslipbank.decision.entries.DutyAssignment;
import org.cowslipbank.decision.entries.DutyQuery;
import org.cowslipbank.decision.entries.EndpointAnswer;
import org.cowslipbank.decision.entries.EndpointLookup;
import org.cowslipbank.decision.entries.EndpointQuery;
import org.cowslipbank.decision.entries.TeamNodes;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.FleetView;
import org.cowslipbank.model.DataCentreId;

/**
 * Immutable snapshot of this node's view of the fleet, published by the control thread. Times are milliseconds on the
 * fleet service's clock.
 *
 * @param view the known nodes and facts
 * @param probesAnswered whether probes have been answered since the start or the last pause
 * @param validUntilMillis time after which the snapshot is unconfirmed, since the control thread must have been paused
 * @param lastAckMillis when a peer last acknowledged a probe, negative if none has since the last pause
 * @param revision configuration revision in force at this node, as reported to the fleet service
 * @param confirmedAtMillis when the platform last confirmed that revision, to this node or to a peer; negative if never
 */
public record FleetSnapshot(
        FleetView view,
        boolean probesAnswered,
        long validUntilMillis,
        long lastAckMillis,
        long revision,
        long confirmedAtMillis) {
    /**
     * Returns whether the snapshot may be acted upon. The check with the current time also catches a thread that was
     * paused after it had read the snapshot.
     *
     * @param nowMillis the time
     * @return true if the snapshot is confirmed
     */
    public boolean isConfirmed(long nowMillis) {
        return probesAnswered && nowMillis <= validUntilMillis;
    }

    /**
     * Answers an address lookup.
     *
     * @param team the team
     * @param session the session key, empty if the caller names none
     * @param dataCentre the caller's data centre
     * @param limit maximum number of nodes in the answer
     * @param validMillis how long the caller may use the answer, in milliseconds
     * @param nowMillis the time
     * @return the answer
     */
    public EndpointAnswer lookUpEntries(
            Team team, String session, DataCentreId dataCentre, int limit, long validMillis, long nowMillis) {
        return EndpointLookup.answer(new EndpointQuery(
                team.id(),
                session,
                dataCentre,
                view.nodes(),
                isConfirmed(nowMillis),
                teamNodes(team.limits()),
                limit,
                validMillis,
                nowMillis));
    }

    /**
     * Returns the number of nodes that serve a team and share its limits.
     *
     * @param limits the team's limits over the whole fleet
     * @return the number, at least one
     */
    public int teamNodes(TeamLimits limits) {
        int working = (int) view.nodes().stream().filter(FleetNode::acceptsWork).count();
        return TeamNodes.count(limits, working);
    }

    /**
     * Determines the node to which a duty is assigned.
     *
     * @param duty kind of duty
     * @param name the partition, upstream or model group
     * @param preferred data centres whose nodes are preferred, empty for all
     * @param nowMillis the time
     * @return the assigned node, and whether this node may act on it
     */
    public DutyAnswer assignDuty(Duty duty, String name, List<DataCentreId> preferred, long nowMillis) {
        return DutyAssignment.assign(
                new DutyQuery(duty, name, preferred, view.nodes(), view.self().vm(), isConfirmed(nowMillis)));
    }
}
