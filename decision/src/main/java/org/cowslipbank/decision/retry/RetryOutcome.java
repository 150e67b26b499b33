package org.cowslipbank.decision.retry;

/**
 * Outcome of the decision.
 *
 * @param state the budget's new state
 * @param verdict whether the attempt may be sent
 * @param waitMillis for {@link RetryVerdict#WAIT}, after how many milliseconds to ask again; otherwise zero
 */
public record RetryOutcome(RetryState state, RetryVerdict verdict, long waitMillis) {}
