package org.cowslipbank.model.relay;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * @param name the route's name
 * @param host the host name that it matches, in lower case and without a port
 * @param pathPrefix the path prefix that it matches; begins and ends with a slash
 * @param repeatRule whether a request may run more than once
 * @param timeoutMillis the longest time a client waits for an answer, in milliseconds
 * @param latencyObjectiveMillis the latency objective in milliseconds; for streams the time to the first event
 * @param priority the route's priority; zero is the most urgent
 * @param services the services that share its requests
 * @param maxAttempts the largest number of attempts that may run one request; rejected attempts do not count
 * @param anonymous true if its requests need no bearer key
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
    /** Copies the list. */
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
