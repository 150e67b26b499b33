package org.cowslipbank.decision.routing;

/**
 * Input of the prefetch decision at an endpoint lookup.
 *
 * @param expected the expected request, derived from the hints of its session
 * @param requestProbability probability that a request follows the lookup, from 0 to 1
 * @param maxWaitMillis maximum duration in milliseconds; a longer prefetch is truncated
 */
public record PrefetchInput(RoutingInput expected, double requestProbability, double maxWaitMillis) {}
