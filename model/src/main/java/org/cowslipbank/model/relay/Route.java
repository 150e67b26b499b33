package org.cowslipbank.model.relay;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * @param name the route's name
 * @param host the host name that it matches, in lower case and without a port
 * @param pathPrefix the path prefix that it matches; begins and ends with a slash
 * @param repeatRule whether a request may run more than once
 * @param timeoutMillis timeout of a request in milliseconds, from its arrival to the end of its answer; a shorter
 *     timeout stated by the client takes precedence
 * @param latencyObjectiveMillis the latency objective in milliseconds; for streams the time to the first event
 * @param priority the route's priority; zero is the most urgent
 * @param services the services that share its requests
 * @param maxAttempts maximum number of attempts for one request; rejected attempts do not count
 * @param anonymous true if its requests need no API key
 * @param resumable true if an interrupted stream may be resumed at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RepeatRule repeatRule,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        List<ServiceShare> services,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request may run again after an attempt whose outcome is unknown.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean isRepeatable() {
        return repeatRule == RepeatRule.IDEMPOTENT || repeatRule == RepeatRule.STREAM && resumable;
    }

    /**
     * Returns whether answers are streams of events.
     *
     * @return true for streaming routes
     */
    public boolean isStream() {
        return repeatRule == RepeatRule.STREAM;
    }
}
