package org.cowslipbank.decision.retention;

import org.cowslipbank.config.DecisionWeights;

/**
 * Rules of retention.
 *
 * @param horizonMillis returns after this time count nothing, in milliseconds
 * @param memoryHorizonMillis the same when memory gives sessions to disk, in milliseconds
 * @param exportLimitShare share of a tier above which nothing is exported to it, from 0 to 1
 * @param evictTargetShare share of a tier to which an eviction empties it, from 0 to 1
 * @param weights what the deployment weighs
 */
public record RetentionPolicy(
        long horizonMillis,
        long memoryHorizonMillis,
        double exportLimitShare,
        double evictTargetShare,
        DecisionWeights weights) {}
