package org.cowslipbank.decision.orders;

/**
 * Input of a recorded transition of the controller.
 *
 * @param state the state before the event
 * @param event the event
 * @param nowMillis the time in milliseconds
 */
public record OrdersInput(OrdersState state, OrdersEvent event, long nowMillis) {}
