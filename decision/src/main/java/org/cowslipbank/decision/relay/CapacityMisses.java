package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that found no capacity in one round over the queue. A further one that needs as much or more of the same
 * upstreams cannot find any either, so it is not tried; with 200 waiting requests, trying each of them at each of some forty
 * engines would take a node's processor for longer than the round is apart from the next.
 */
public final class CapacityMisses {
    private final Map<SizeClass, Integer> leastTokensByClass = new HashMap<>();

    /**
     * Requests that may use the same upstreams up to the same limits.
     *
     * @param service the service
     * @param kind name of the route
     * @param priority the priority
     * @param model the model, empty for a plain service
     */
    public record SizeClass(String service, String kind, int priority, String model) {}

    /**
     * Records that a request found no capacity.
     *
     * @param sizeClass its class
     * @param tokens length of its prompt in tokens
     */
    public void onMissed(SizeClass sizeClass, int tokens) {
        leastTokensByClass.merge(sizeClass, tokens, Math::min);
    }

    /**
     * Returns whether a request may find capacity.
     *
     * @param sizeClass its class
     * @param tokens length of its prompt in tokens
     * @return false if one of its class that is no longer has found none
     */
    public boolean mayFit(SizeClass sizeClass, int tokens) {
        Integer leastTokens = leastTokensByClass.get(sizeClass);
        return leastTokens == null || tokens < leastTokens;
    }
}
