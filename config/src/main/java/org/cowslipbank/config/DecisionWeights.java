package org.cowslipbank.config;

/**
 * Weights of the terms of the routing cost. The cost of a choice is the weighted sum of its expected time to first token,
 * its recompute time and its transfer time, each in milliseconds.
 *
 * @param timeToFirstToken weight of a millisecond until the first token
 * @param recompute weight of a millisecond of prompt recomputation
 * @param link weight of a millisecond of link use
 */
public record DecisionWeights(double timeToFirstToken, double recompute, double link) {}
