package org.cowslipbank.decision.streams;

/**
 * Input of a recorded transition of a stream.
 *
 * @param state the state before the event
 * @param event the event
 * @param nowMillis the time in milliseconds
 */
public record StreamInput(StreamState state, StreamEvent event, long nowMillis) {}
