package org.cowslipbank.config;

/**
 * Limits of a team over the whole fleet.
 *
 * @param requestsPerSecond admitted requests a second
 * @param burstRequests requests admitted at once after a pause
 * @param concurrentRequests the most requests in flight
 * @param weight share in fair queueing relative to other teams
 */
public record TeamLimits(double requestsPerSecond, int burstRequests, int concurrentRequests, double weight) {}
