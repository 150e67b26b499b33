package org.cowslipbank.decision.retention;

import org.cowslipbank.config.DecisionWeights;

/**
 * Rules of retention.
 *
 * @param horizonMillis time within which a session must return for its blocks to have value, in milliseconds
 * @param memoryHorizonMillis the same for the decision which sessions move from memory to disk, in milliseconds
 * @param exportLimitShare fill level of a tier above which nothing is exported to it, from 0 to 1
 * @param evictTargetShare fill level down to which an eviction empties a tier, from 0 to 1
 * @param weights cost weights of the deployment
 */
public record RetentionPolicy(
        long horizonMillis,
        long memoryHorizonMillis,
        double exportLimitShare,
        double evictTargetShare,
        DecisionWeights weights) {}
