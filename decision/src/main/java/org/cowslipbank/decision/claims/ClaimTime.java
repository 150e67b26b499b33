package org.cowslipbank.decision.claims;

/**
 * Readings of a node's two clocks at one instant.
 *
 * @param monotonicMillis monotonic clock in milliseconds, for durations
 * @param wallMillis wall clock in milliseconds since the epoch; determines windows and the age of claims, and does not
 *     affect safety
 */
public record ClaimTime(long monotonicMillis, long wallMillis) {}
