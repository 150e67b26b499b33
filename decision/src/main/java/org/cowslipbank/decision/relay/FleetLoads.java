package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.cowslipbank.decision.hashing.Rendezvous;

/**
 * Load that other nodes have in flight at each upstream, from the digests they send. A single node sees only a small
 * and noisy part of an engine's load. Confined to the traffic thread.
 */
public final class FleetLoads {
    /** Time after which a digest expires; a request lasts one to three seconds. */
    public static final long DIGEST_VALID_MILLIS = 1_200;

    /** Rounds between two digests for a member without work. */
    static final int IDLE_MEMBER_ROUNDS = 4;

    /**
     * Load in flight at an upstream.
     *
     * @param requests number of requests
     * @param tokens prompt tokens of these requests
     * @param unreadTokens prompt tokens that the engine still has to compute for requests without a first event
     */
    public record Load(int requests, long tokens, long unreadTokens) {
        /** No load. */
        public static final Load NONE = new Load(0, 0, 0);

        /**
         * Adds another load.
         *
         * @param other the load to add
         * @return the sum
         */
        public Load plus(Load other) {
            return new Load(requests + other.requests, tokens + other.tokens, unreadTokens + other.unreadTokens);
        }
    }

    /** Which nodes a digest covers. */
    public enum Scope {
        /** One node; sent to its hub. */
        NODE,
        /** A hub and its members; sent to the other hubs. */
        GROUP,
        /** All nodes except the receiver; sent by a hub to a member. */
        OTHERS
    }

    /**
     * Origin of a digest. In a large fleet a digest is split into parts, and a new part replaces only the earlier part
     * of the same origin and number.
     *
     * @param scope which nodes the digest covers
     * @param node short hash of the sender's name
     * @param part number of the part
     */
    public record Source(Scope scope, int node, int part) {}

    private record Digest(Map<Integer, Load> byServer, long receivedAtMillis) {}

    private final Map<Source, Digest> digestBySource = new HashMap<>();

    /**
     * Returns the hash by which digests identify a node or an upstream. If two names collide, their loads add up to a
     * value that is too high for a short time, which is harmless.
     *
     * @param name name of the node or identifier of the upstream
     * @return the 32-bit hash
     */
    public static int shortHash(String name) {
        return (int) Rendezvous.hash(name);
    }

    /**
     * Stores a received digest in place of the earlier one of the same source.
     *
     * @param source origin of the digest
     * @param byServer load by short hash of the upstream's identifier
     * @param nowMillis the time in milliseconds
     */
    public void onDigest(Source source, Map<Integer, Load> byServer, long nowMillis) {
        if (source.scope() == Scope.OTHERS) {
            // The digest already includes everything that a previous hub sent.
            digestBySource
                    .keySet()
                    .removeIf(earlier -> earlier.scope() != Scope.OTHERS || earlier.node() != source.node());
        }
        digestBySource.put(source, new Digest(Map.copyOf(byServer), nowMillis));
    }

    /**
     * Returns the load of the other nodes at an upstream.
     *
     * @param serverId the upstream's identifier
     * @return the sum over all stored digests
     */
    public Load loadAt(String serverId) {
        int hash = shortHash(serverId);
        Load sum = Load.NONE;
        for (Digest digest : digestBySource.values()) {
            sum = sum.plus(digest.byServer().getOrDefault(hash, Load.NONE));
        }
        return sum;
    }

    /**
     * Returns the load of a hub and its members.
     *
     * @param own the hub's own load by short hash of the upstream's identifier
     * @return the total load by short hash of the upstream's identifier
     */
    public Map<Integer, Load> groupTotal(Map<Integer, Load> own) {
        return sum(own, source -> source.scope() == Scope.NODE);
    }

    /**
     * Returns the load of all nodes except one member of the hub, to be sent to that member.
     *
     * @param own the hub's own load by short hash of the upstream's identifier
     * @param member short hash of the member's name
     * @return the total load by short hash of the upstream's identifier
     */
    public Map<Integer, Load> totalExcept(Map<Integer, Load> own, int member) {
        return sum(
                own,
                source -> source.scope() == Scope.GROUP || source.scope() == Scope.NODE && source.node() != member);
    }

    /**
     * Returns whether a hub sends a member the load of the others in a round. Members without work of their own, such as
     * those that look-ups leave out, get every fourth round, which is still before the digest before expires.
     *
     * @param member short hash of the member's name
     * @param round number of the round
     * @return true if the digest is due
     */
    public boolean isDue(int member, long round) {
        boolean busy = digestBySource.entrySet().stream()
                .anyMatch(entry -> entry.getKey().scope() == Scope.NODE
                        && entry.getKey().node() == member
                        && !entry.getValue().byServer().isEmpty());
        return busy || round % IDLE_MEMBER_ROUNDS == 0;
    }

    /**
     * Returns the load of all nodes as known to a hub.
     *
     * @param own the hub's own load by short hash of the upstream's identifier
     * @return the total load by short hash of the upstream's identifier
     */
    public Map<Integer, Load> total(Map<Integer, Load> own) {
        return sum(own, source -> source.scope() != Scope.OTHERS);
    }

    private Map<Integer, Load> sum(Map<Integer, Load> own, Predicate<Source> included) {
        Map<Integer, Load> sum = new HashMap<>(own);
        digestBySource.forEach((source, digest) -> {
            if (included.test(source)) {
                digest.byServer().forEach((server, load) -> sum.merge(server, load, Load::plus));
            }
        });
        return sum;
    }

    /**
     * Removes expired digests. Called in every round of the digest exchange.
     *
     * @param nowMillis the time in milliseconds
     */
    public void expire(long nowMillis) {
        digestBySource.values().removeIf(digest -> nowMillis - digest.receivedAtMillis() >= DIGEST_VALID_MILLIS);
    }
}
