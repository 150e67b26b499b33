package org.cowslipbank.decision.retry;

import org.cowslipbank.model.RunState;

/**
 * The question whether a further attempt may be sent.
 *
 * @param attemptNumber number of the further attempt; the first attempt has number one
 * @param run what is known about whether earlier attempts ran
 * @param repeatable true if running the request twice does no harm: a prompt without relayed tokens, or a call of a
 *     repeatable method
 * @param continuation true if the attempt continues from emitted tokens on the same weight version
 * @param retriedElsewhere true if another node sent the request and retries it itself
 */
public record RetryQuestion(
        int attemptNumber, RunState run, boolean repeatable, boolean continuation, boolean retriedElsewhere) {}
