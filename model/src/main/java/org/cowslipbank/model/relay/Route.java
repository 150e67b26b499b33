package org.cowslipbank.model.relay;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case and without a port
 * @param pathPrefix the prefix of its paths; begins and ends with a slash
 * @param repeat what may be run more than once
 * @param timeoutMillis the longest time a request is kept waiting, in milliseconds
 * @param objectiveMillis the latency objective in milliseconds; for streams it ends with the first event
 * @param priority the route's rank; zero is the most urgent
 * @param services the services that its requests go to
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param anonymous true if its requests carry no key
 * @param resumable true if a stream may go on at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RepeatRule repeat,
        long timeoutMillis,
        long objectiveMillis,
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
     * Tells whether a request may run again after a run whose outcome is unknown.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean isRepeatable() {
        return repeat == RepeatRule.IDEMPOTENT || repeat == RepeatRule.STREAM && resumable;
    }

    /**
     * Tells whether answers are streams of events.
     *
     * @return true if they are
     */
    public boolean isStream() {
        return repeat == RepeatRule.STREAM;
    }
}
