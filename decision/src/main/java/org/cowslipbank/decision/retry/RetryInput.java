package org.cowslipbank.decision.retry;

/**
 * Input of the retry decision.
 *
 * @param state requests and retries counted so far
 * @param question the further attempt
 * @param nowMillis current time in milliseconds
 */
public record RetryInput(RetryState state, RetryQuestion question, long nowMillis) {}
