package org.cowslipbank.config;

/**
 * What a deployment weighs. The routing cost of a choice is the weighted sum of its expected time to first token, its
 * recompute time and its transfer time, each in milliseconds.
 *
 * @param timeToFirstToken weight of a millisecond until the first token
 * @param recompute weight of a millisecond of recomputed prompt work
 * @param link weight of a millisecond of link use
 */
public record DecisionWeights(double timeToFirstToken, double recompute, double link) {}
