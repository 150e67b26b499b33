package org.cowslipbank.decision.claims;

/**
 * Token bucket that limits a process's calls to the key-value service. Each priority leaves a reserve of tokens for the
 * higher ones. Not thread-safe.
 */
public final class PlatformBudget {
    /** Priority of a call, highest first. */
    public enum Priority {
        /** Claims of non-repeatable requests. */
        CLAIMS(0),
        /** Reads and writes of the configuration. */
        CONFIGURATION(0.2),
        /** Commands to upstreams. */
        COMMANDS(0.4),
        /** Audit and clean-up. */
        AUDIT(0.6);

        // Share of the burst that a call of this priority leaves in the bucket.
        private final double reservedShare;

        Priority(double reservedShare) {
            this.reservedShare = reservedShare;
        }
    }

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledMillis;

    /**
     * Creates a full bucket.
     *
     * @param perSecond refill rate in calls a second
     * @param burst size of the bucket in calls; at least four are used, so that every priority can be served
     * @param nowMillis monotonic time in milliseconds
     */
    public PlatformBudget(double perSecond, double burst, long nowMillis) {
        this.perSecond = perSecond;
        this.burst = Math.max(4, burst);
        this.tokens = this.burst;
        this.refilledMillis = nowMillis;
    }

    /**
     * Returns a node's share of the key-value service's rate. Only the owners of partitions write claims, so the rate
     * for claims is shared in proportion to the partitions that a node owns; the rest is divided evenly between nodes.
     *
     * @param totalPerSecond rate of the whole fleet, in calls a second
     * @param claimsPerSecond rate reserved for the claims of all partitions together, in calls a second
     * @param nodes number of entry nodes
     * @param partitions number of partitions
     * @param ownedPartitions number of partitions that this node owns
     * @return the node's rate in calls a second
     */
    public static double sharePerSecond(
            double totalPerSecond, double claimsPerSecond, int nodes, int partitions, int ownedPartitions) {
        double rest = Math.max(0, totalPerSecond - claimsPerSecond) / Math.max(1, nodes);
        return rest + claimsPerSecond * ownedPartitions / Math.max(1, partitions);
    }

    /**
     * Takes a token unless that would use the reserve of higher priorities.
     *
     * @param priority the call's priority
     * @param nowMillis monotonic time in milliseconds
     * @return zero if the call may be made now, else the time in milliseconds after which to try again
     */
    public long tryTake(Priority priority, long nowMillis) {
        tokens = Math.min(burst, tokens + Math.max(0, nowMillis - refilledMillis) * perSecond / MILLIS_PER_SECOND);
        refilledMillis = Math.max(refilledMillis, nowMillis);
        double needed = 1 + priority.reservedShare * burst;
        if (tokens >= needed) {
            tokens--;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((needed - tokens) * MILLIS_PER_SECOND / perSecond));
    }
}
