package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * What other nodes have in flight at each upstream, from their digests. A node alone sees a small and noisy part of an
 * engine's work. Owned by the traffic thread.
 */
public final class FleetLoads {
    /** How long a digest counts; a request lasts one to three seconds. */
    public static final long VALID_MILLIS = 1_200;

    /**
     * Work in flight at an upstream.
     *
     * @param requests requests
     * @param tokens prompt tokens of these requests
     * @param unreadTokens prompt tokens of requests without a first event that the engine has to read
     */
    public record Load(int requests, long tokens, long unreadTokens) {
        /** No work. */
        public static final Load NONE = new Load(0, 0, 0);

        /**
         * Adds the work of another node.
         *
         * @param other the other work
         * @return the sum
         */
        public Load plus(Load other) {
            return new Load(requests + other.requests, tokens + other.tokens, unreadTokens + other.unreadTokens);
        }
    }

    private record Digest(Map<String, Load> byServer, long atMillis) {}

    private final Map<String, Digest> byNode = new HashMap<>();

    /**
     * Takes a node's digest.
     *
     * @param node the node
     * @param byServer its work by identifier of the upstream
     * @param nowMillis the time in milliseconds
     */
    public void onDigest(String node, Map<String, Load> byServer, long nowMillis) {
        byNode.put(node, new Digest(Map.copyOf(byServer), nowMillis));
    }

    /**
     * Returns the work of other nodes at an upstream.
     *
     * @param serverId the upstream's identifier
     * @param nowMillis the time in milliseconds
     * @return the sum over the nodes whose digest is fresh
     */
    public Load at(String serverId, long nowMillis) {
        Load sum = Load.NONE;
        for (Digest digest : byNode.values()) {
            if (nowMillis - digest.atMillis() < VALID_MILLIS) {
                sum = sum.plus(digest.byServer().getOrDefault(serverId, Load.NONE));
            }
        }
        return sum;
    }

    /**
     * Forgets old digests.
     *
     * @param nowMillis the time in milliseconds
     */
    public void expire(long nowMillis) {
        byNode.values().removeIf(digest -> nowMillis - digest.atMillis() >= VALID_MILLIS);
    }
}
