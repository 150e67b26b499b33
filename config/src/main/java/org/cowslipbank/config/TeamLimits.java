package org.cowslipbank.config;

/**
 * Limits of a team across the whole fleet.
 *
 * @param requestsPerSecond sustained rate of admitted requests per second
 * @param burstRequests maximum number of requests admitted at once after an idle time
 * @param concurrentRequests maximum number of requests in flight
 * @param weight share in fair queueing relative to other teams
 */
public record TeamLimits(double requestsPerSecond, int burstRequests, int concurrentRequests, double weight) {}
