package org.cowslipbank.decision.trace.invariant;

/**
 * A fact at its place in a trace.
 *
 * @param sequence sequence number of its line
 * @param timeMillis time of its line in milliseconds
 * @param fact the fact
 */
public record TimedFact(long sequence, long timeMillis, Fact fact) {}
