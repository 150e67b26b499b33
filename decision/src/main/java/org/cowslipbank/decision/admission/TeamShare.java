package org.cowslipbank.decision.admission;

import org.cowslipbank.model.TeamId;

/**
 * A team's limits at one node.
 *
 * @param team the team
 * @param requestsPerSecond admitted requests a second
 * @param burstRequests requests admitted at once after a pause, at least one
 * @param concurrentRequests the most requests queued or in flight, at least one
 * @param weight share in fair queueing relative to other teams
 */
public record TeamShare(
        TeamId team, double requestsPerSecond, double burstRequests, int concurrentRequests, double weight) {}
