package org.cowslipbank.decision.retry;

/** Whether a further attempt may be sent. */
public enum RetryVerdict {
    /** The attempt may be sent now and has been counted. */
    ALLOWED,
    /** The retry budget is used up; ask again later. */
    WAIT,
    /** The request has had {@link RetryPolicy#MAX_ATTEMPTS} attempts. */
    TOO_MANY_ATTEMPTS,
    /** The request may have run and must not run twice. */
    NOT_REPEATABLE,
    /** Another node retries the request. */
    RETRIED_ELSEWHERE
}
