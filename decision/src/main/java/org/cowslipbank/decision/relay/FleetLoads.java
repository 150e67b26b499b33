package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

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

    /** Who a digest is of. */
    public enum Scope {
        /** One node, to its hub. */
        NODE,
        /** A hub and its members, to the other hubs. */
        GROUP,
        /** All nodes but the one that it is sent to. */
        OTHERS
    }

    /**
     * Where a digest comes from. Of a large fleet a digest is sent in parts, each of which is replaced by itself.
     *
     * @param scope who it is of
     * @param node short hash of the sender's name
     * @param part number of the part
     */
    public record Source(Scope scope, int node, int part) {}

    private record Digest(Map<Integer, Load> byServer, long atMillis) {}

    private final Map<Source, Digest> bySource = new HashMap<>();

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
     * Takes a digest.
     *
     * @param source where it comes from
     * @param byServer work by short hash of the upstream's identifier
     * @param nowMillis the time in milliseconds
     */
    public void onDigest(Source source, Map<Integer, Load> byServer, long nowMillis) {
        if (source.scope() == Scope.OTHERS) {
            // It holds what a former hub told, too.
            bySource.keySet().removeIf(known -> known.scope() != Scope.OTHERS || known.node() != source.node());
        }
        bySource.put(source, new Digest(Map.copyOf(byServer), nowMillis));
    }

    /**
     * Returns the work of other nodes at an upstream.
     *
     * @param serverId the upstream's identifier
     * @return the sum over the digests that have not expired
     */
    public Load at(String serverId) {
        int hash = shortHash(serverId);
        Load sum = Load.NONE;
        for (Digest digest : bySource.values()) {
            sum = sum.plus(digest.byServer().getOrDefault(hash, Load.NONE));
        }
        return sum;
    }

    /**
     * Returns the work of a hub's group.
     *
     * @param own the hub's own work by short hash of the upstream's identifier
     * @return its sum with that of the members
     */
    public Map<Integer, Load> group(Map<Integer, Load> own) {
        return sum(own, source -> source.scope() == Scope.NODE);
    }

    /**
     * Returns the work of all nodes but one of a hub's members.
     *
     * @param own the hub's own work by short hash of the upstream's identifier
     * @param member short hash of the member's name
     * @return the sum
     */
    public Map<Integer, Load> othersOf(Map<Integer, Load> own, int member) {
        return sum(
                own,
                source -> source.scope() == Scope.GROUP || source.scope() == Scope.NODE && source.node() != member);
    }

    /**
     * Returns the work of all nodes as a hub knows it.
     *
     * @param own the hub's own work by short hash of the upstream's identifier
     * @return the sum
     */
    public Map<Integer, Load> total(Map<Integer, Load> own) {
        return sum(own, source -> source.scope() != Scope.OTHERS);
    }

    private Map<Integer, Load> sum(Map<Integer, Load> own, Predicate<Source> counted) {
        Map<Integer, Load> sum = new HashMap<>(own);
        bySource.forEach((source, digest) -> {
            if (counted.test(source)) {
                digest.byServer().forEach((server, load) -> sum.merge(server, load, Load::plus));
            }
        });
        return sum;
    }

    /**
     * Forgets old digests; called every round.
     *
     * @param nowMillis the time in milliseconds
     */
    public void expire(long nowMillis) {
        bySource.values().removeIf(digest -> nowMillis - digest.atMillis() >= VALID_MILLIS);
    }
}
