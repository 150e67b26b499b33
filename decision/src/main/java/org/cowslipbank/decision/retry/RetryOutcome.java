package org.cowslipbank.decision.retry;

/**
 * Outcome of the retry decision.
 *
 * @param state the new counts, which include the attempt if it is allowed
 * @param verdict whether the attempt may be sent
 * @param waitMillis for {@link RetryVerdict#WAIT}, time in milliseconds after which to ask again; otherwise zero
 */
public record RetryOutcome(RetryState state, RetryVerdict verdict, long waitMillis) {}
