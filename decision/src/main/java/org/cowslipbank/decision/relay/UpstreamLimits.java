package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Keeps the requests of all nodes within the rate that an upstream names in its answers.
 *
 * <p>Load pattern: an upstream in need takes a few requests a second from the whole fleet, while each of many nodes could
 * send it more than that. Every node paces its requests to an equal share of the rate. The paces of the nodes are evenly
 * shifted against each other, so that they do not send together, and an unused request lapses, so that a burst after a
 * pause stays near the rate too. What one node learns of a limit, or of its end, it tells the others; the newest observation
 * counts. Confined to the traffic thread.
 */
public final class UpstreamLimits {
    /** Time for which a request that a node may send but does not send is kept. */
    static final long UNUSED_VALID_MILLIS = 1_500;

    /** Lowest rate that is assumed for an upstream that names none or less, so that the end of its limit is noticed. */
    static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /** Time for which an observation is passed on to other nodes. */
    public static final long SHARED_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double HASH_RANGE = 1L << 32;

    private final Map<Integer, Limit> limits = new HashMap<>();
    private int nodes = 1;
    private int nodeIndex;

    /**
     * Sets among how many nodes the rates are shared.
     *
     * @param sharingNodes number of nodes
     * @param ownIndex the place of this node among them, from zero
     */
    public void setShare(int sharingNodes, int ownIndex) {
        nodes = Math.max(1, sharingNodes);
        nodeIndex = ownIndex;
    }

    /**
     * What an upstream last stated about its limit.
     *
     * @param upstream short hash of the upstream's incarnation
     * @param requestsPerSecond rate that it takes from all nodes together, empty if it no longer names a limit
     * @param ageMillis time since the observation, in milliseconds
     */
    public record Observation(int upstream, OptionalDouble requestsPerSecond, long ageMillis) {}

    /** An observation, and when this node may send its next request. */
    private static final class Limit {
        private OptionalDouble requestsPerSecond;
        private long observedMillis;
        private final SendPermits permits = new SendPermits(UNUSED_VALID_MILLIS);

        private boolean isNamed() {
            return requestsPerSecond.isPresent();
        }
    }

    private double intervalMillis(Limit limit) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond.getAsDouble());
        return MILLIS_PER_SECOND * nodes / rate;
    }

    /**
     * Returns the number by which nodes identify an upstream to each other.
     *
     * @param incarnation the upstream's incarnation
     * @return its short hash
     */
    public static int keyOf(String incarnation) {
        return FleetLoads.shortHash(incarnation);
    }

    /**
     * Records an answer of an upstream.
     *
     * @param incarnation the upstream's incarnation
     * @param requestsPerSecond the limit that the answer names, empty if it names none
     * @param sentMillis when the answered request was sent; an answer without a limit ends only earlier observations
     * @param nowMillis the time in milliseconds
     * @return true if the upstream begins or ceases to be limited, as far as this node knows
     */
    public boolean onAnswer(String incarnation, OptionalDouble requestsPerSecond, long sentMillis, long nowMillis) {
        int key = keyOf(incarnation);
        Limit known = limits.get(key);
        boolean limited = known != null && known.isNamed();
        if (requestsPerSecond.isEmpty() && (!limited || sentMillis < known.observedMillis)) {
            return false;
        }
        observe(key, requestsPerSecond, nowMillis, nowMillis);
        return limited != requestsPerSecond.isPresent();
    }

    /**
     * Records what another node has observed, if it is newer than what this node knows.
     *
     * @param observation the observation
     * @param nowMillis the time in milliseconds
     */
    public void onObservation(Observation observation, long nowMillis) {
        long observedMillis = nowMillis - Math.max(0, observation.ageMillis());
        Limit known = limits.get(observation.upstream());
        if (known == null || known.observedMillis < observedMillis) {
            observe(observation.upstream(), observation.requestsPerSecond(), observedMillis, nowMillis);
        }
    }

    private void observe(int key, OptionalDouble requestsPerSecond, long observedMillis, long nowMillis) {
        Limit limit = limits.computeIfAbsent(key, added -> new Limit());
        boolean begins = requestsPerSecond.isPresent() && (limit.requestsPerSecond == null || !limit.isNamed());
        limit.requestsPerSecond = requestsPerSecond;
        limit.observedMillis = observedMillis;
        if (begins) {
            limit.permits.beginAt(nowMillis + phase(key) * intervalMillis(limit));
        }
    }

    /** Returns this node's place in the interval between two of its requests to an upstream, from 0 to 1. */
    private double phase(int key) {
        return (Integer.toUnsignedLong(key) / HASH_RANGE + (double) nodeIndex / nodes) % 1;
    }

    /**
     * Returns whether this node may send a request now.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return false while the upstream names a limit and this node's share of it is used up
     */
    public boolean maySend(String incarnation, long nowMillis) {
        if (limits.isEmpty()) {
            return true;
        }
        Limit limit = limits.get(keyOf(incarnation));
        if (limit == null || !limit.isNamed()) {
            return true;
        }
        return limit.permits.isFree(intervalMillis(limit), nowMillis);
    }

    /**
     * Records that this node sends a request.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String incarnation, long nowMillis) {
        Limit limit = limits.get(keyOf(incarnation));
        if (limit != null && limit.isNamed()) {
            limit.permits.take(intervalMillis(limit), nowMillis);
        }
    }

    /**
     * Returns what this node should tell the others.
     *
     * @param nowMillis the time in milliseconds
     * @return the recent observations
     */
    public List<Observation> observations(long nowMillis) {
        return limits.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().observedMillis < SHARED_MILLIS)
                .map(entry -> new Observation(
                        entry.getKey(),
                        entry.getValue().requestsPerSecond,
                        nowMillis - entry.getValue().observedMillis))
                .toList();
    }

    /**
     * Returns whether an upstream names a limit, as far as this node knows.
     *
     * @param incarnation the upstream's incarnation
     * @return true if it does
     */
    public boolean isLimited(String incarnation) {
        Limit limit = limits.get(keyOf(incarnation));
        return limit != null && limit.isNamed();
    }

    /**
     * Removes upstreams that no longer exist.
     *
     * @param incarnations the incarnations that exist
     */
    public void retain(Set<String> incarnations) {
        Set<Integer> keys = new HashSet<>();
        incarnations.forEach(incarnation -> keys.add(keyOf(incarnation)));
        limits.keySet().retainAll(keys);
    }
}
