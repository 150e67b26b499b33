package org.cowslipbank.decision.routing;

/**
 * What is known when a caller looks up its addresses.
 *
 * @param expected the request as the hints of its session describe it
 * @param requestProbability probability that a request follows the lookup, from 0 to 1
 * @param maxWaitMillis a prefetch that would need longer is cut, in milliseconds
 */
public record PrefetchInput(RoutingInput expected, double requestProbability, double maxWaitMillis) {}
