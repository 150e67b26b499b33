package org.cowslipbank.decision.routing;

/**
 * Whether a fetch continues.
 *
 * @param recomputeRest true if the fetch is cancelled and the remaining blocks are recomputed
 * @param linkSilent true if the link is treated as dead
 * @param checkAfterMillis time after which to check again if no block arrives, in milliseconds
 */
public record FetchVerdict(boolean recomputeRest, boolean linkSilent, double checkAfterMillis) {}
