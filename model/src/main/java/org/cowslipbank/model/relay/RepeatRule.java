package org.cowslipbank.model.relay;

/** Whether a request of a route may run more than once. */
public enum RepeatRule {
    /** A request may run any number of times. */
    IDEMPOTENT,
    /** A request runs at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events; the request runs at most once unless the route's streams are resumable. */
    STREAM
}
