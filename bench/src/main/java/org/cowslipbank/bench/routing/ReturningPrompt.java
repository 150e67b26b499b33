package org.cowslipbank.bench.routing;

/**
 * One prompt of a session that had an earlier run.
 *
 * @param arrivalMillis time of arrival in milliseconds of the model's clock
 * @param reusableTokens tokens that an earlier run had computed
 * @param cachedTokens tokens that were taken from cached blocks
 * @param firstTokenMillis time to first token in milliseconds
 */
public record ReturningPrompt(long arrivalMillis, long reusableTokens, long cachedTokens, double firstTokenMillis) {}
