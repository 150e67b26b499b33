package org.cowslipbank.decision.retry;

/**
 * Input of the decision.
 *
 * @param state the budget's state
 * @param question the question
 * @param nowMillis the time in milliseconds
 */
public record RetryInput(RetryState state, RetryQuestion question, long nowMillis) {}
