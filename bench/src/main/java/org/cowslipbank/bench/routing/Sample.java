package org.cowslipbank.bench.routing;

/**
 * One returning prompt.
 *
 * @param arrivalMillis when it arrived
 * @param knownTokens tokens that an earlier run had computed
 * @param cachedTokens tokens that were not computed again
 * @param firstTokenMillis time to first token
 */
public record Sample(long arrivalMillis, long knownTokens, long cachedTokens, double firstTokenMillis) {}
