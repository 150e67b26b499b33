package org.cowslipbank.decision.routing;

/**
 * Whether a fetch goes on.
 *
 * @param recomputeRest true if the fetch is cancelled and the remaining blocks are recomputed
 * @param linkSilent true if the store is to be treated as not answering
 * @param checkAfterMillis when to ask again if no block arrives, in milliseconds
 */
public record FetchVerdict(boolean recomputeRest, boolean linkSilent, double checkAfterMillis) {}
