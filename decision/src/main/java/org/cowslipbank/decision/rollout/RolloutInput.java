package org.cowslipbank.decision.rollout;

/**
 * Input of a recorded transition of the controller.
 *
 * @param state the state before the event
 * @param event the event
 * @param nowMillis the time in milliseconds
 */
public record RolloutInput(RolloutState state, RolloutEvent event, long nowMillis) {}
