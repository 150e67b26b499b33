package org.cowslipbank.decision.retry;

import org.cowslipbank.model.RunState;

/**
 * A further attempt of a request, to be allowed or refused by {@link RetryPolicy}.
 *
 * @param attemptNumber number of the further attempt; the first attempt of the request has number one
 * @param run what is known about whether earlier attempts ran
 * @param repeatable true if the request may run twice: a prompt of which no token has been relayed, or a call of a
 *     repeatable method
 * @param continuation true if the attempt continues from emitted tokens on the same weight version
 * @param retriedElsewhere true if another node sent the request and retries it itself
 */
public record RetryQuestion(
        int attemptNumber, RunState run, boolean repeatable, boolean continuation, boolean retriedElsewhere) {}
