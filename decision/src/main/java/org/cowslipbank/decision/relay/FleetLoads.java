package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;

import org.cowslipbank.decision.hashing.Rendezvous;

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

    private record Digest(Map<Integer, Load> byServer, long atMillis) {}

    private final Map<Integer, Digest> byNode = new HashMap<>();

    /**
     * Returns the short name under which digests carry a node or an upstream. Two that share one add up to a load that
     * is too high for a moment, which does no harm.
     *
     * @param name the name
     * @return its hash
     */
    public static int shortHash(String name) {
        return (int) Rendezvous.hash(name);
    }

    /**
     * Takes a node's digest.
     *
     * @param node short hash of the node's name
     * @param byServer its work by short hash of the upstream's identifier
     * @param nowMillis the time in milliseconds
     */
    public void onDigest(int node, Map<Integer, Load> byServer, long nowMillis) {
        byNode.put(node, new Digest(Map.copyOf(byServer), nowMillis));
    }

    /**
     * Returns the work of other nodes at an upstream.
     *
     * @param serverId the upstream's identifier
     * @return the sum over the nodes whose digest has not expired
     */
    public Load at(String serverId) {
        int hash = shortHash(serverId);
        Load sum = Load.NONE;
        for (Digest digest : byNode.values()) {
            sum = sum.plus(digest.byServer().getOrDefault(hash, Load.NONE));
        }
        return sum;
    }

    /**
     * Forgets old digests; called every round.
     *
     * @param nowMillis the time in milliseconds
     * @param cycleMillis time in which a node tells all others once, in milliseconds
     */
    public void expire(long nowMillis, long cycleMillis) {
        long validMillis = Math.max(VALID_MILLIS, 2 * cycleMillis);
        byNode.values().removeIf(digest -> nowMillis - digest.atMillis() >= validMillis);
    }
}
