package org.cowslipbank.decision.admission;

import org.cowslipbank.model.TeamId;

/**
 * A team's limits at one node.
 *
 * @param team the team
 * @param requestsPerSecond limit of admitted requests per second
 * @param burstRequests capacity of the token bucket, at least one
 * @param concurrentRequests limit of requests queued or in flight, at least one
 * @param weight weight in fair queueing relative to other teams
 */
public record TeamShare(
        TeamId team, double requestsPerSecond, double burstRequests, int concurrentRequests, double weight) {}
