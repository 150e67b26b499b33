package org.cowslipbank.decision.claims;

/**
 * The two clocks of a node at one instant.
 *
 * @param monotonicMillis milliseconds of a clock that never goes back; measures durations
 * @param wallMillis milliseconds since the epoch; determines windows only, safety does not depend on it
 */
public record ClaimTime(long monotonicMillis, long wallMillis) {}
