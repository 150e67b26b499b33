package org.cowslipbank.decision.trace.invariant;

/**
 * An event with its position and time in a trace.
 *
 * @param sequence sequence number of its line
 * @param timeMillis time of its line in milliseconds
 * @param event the event
 */
public record TimedEvent(long sequence, long timeMillis, TraceEvent event) {}
