package org.cowslipbank.model.relay;

/** What a route allows to be run more than once. */
public enum RepeatRule {
    /** A request may run any number of times. */
    IDEMPOTENT,
    /** A request runs at most once. */
    AT_MOST_ONCE,
    /** The answer is a stream of events; it runs once, unless the route lets streams be resumed. */
    STREAM
}
