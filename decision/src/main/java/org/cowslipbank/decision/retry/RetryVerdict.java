package org.cowslipbank.decision.retry;

/** Whether a further attempt may be sent. */
public enum RetryVerdict {
    /** It may be sent now; it has been counted. */
    ALLOWED,
    /** The budget is empty; ask again later. */
    WAIT,
    /** The request has had its two further attempts. */
    TOO_MANY_ATTEMPTS,
    /** The request may have run and must not run twice. */
    NOT_REPEATABLE,
    /** Another node retries the request. */
    RETRIED_ELSEWHERE
}
