package org.cowslipbank.model.relay;

/**
 * How long the upstreams of a service are cold after their start, and what they can handle while they are.
 *
 * @param coldMillis time for which an upstream is cold after its start, in milliseconds
 * @param requestsPerSecond requests a second that a cold upstream can handle, from all nodes together; zero if the service
 *     has no such limit
 */
public record ColdLimit(long coldMillis, double requestsPerSecond) {
    /** No limit: upstreams can handle as many requests after their start as later. */
    public static final ColdLimit NONE = new ColdLimit(0, 0);

    /**
     * Returns whether cold upstreams get fewer requests.
     *
     * @return false without a limit
     */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
