package org.cowslipbank.decision.claims;

/**
 * Token bucket of a process for calls of the key-value service. Each priority leaves a reserve for those above it.
 * Used by one thread at a time.
 */
public final class PlatformBudget {
    /** Priorities, highest first. */
    public enum Priority {
        /** Claims of non-repeatable requests. */
        CLAIMS(0),
        /** Configuration. */
        CONFIGURATION(0.2),
        /** Commands to upstreams. */
        COMMANDS(0.4),
        /** Audit and clean-up. */
        AUDIT(0.6);

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
     * @param perSecond calls allowed a second
     * @param burst calls allowed at once after a pause, at least four so that every priority can be served
     * @param nowMillis monotonic time in milliseconds
     */
    public PlatformBudget(double perSecond, double burst, long nowMillis) {
        this.perSecond = perSecond;
        this.burst = Math.max(4, burst);
        this.tokens = this.burst;
        this.refilledMillis = nowMillis;
    }

    /**
     * Returns a process's share of the service's rate. Claims are written by the owners of partitions alone, so their
     * part follows the partitions; the rest is divided by the number of nodes.
     *
     * @param totalPerSecond the service's rate for the whole fleet, in calls a second
     * @param claimsPerSecond the part that all partitions together need, in calls a second
     * @param nodes number of entry nodes
     * @param partitions number of partitions
     * @param ownedPartitions partitions that this node owns
     * @return calls a second
     */
    public static double sharePerSecond(
            double totalPerSecond, double claimsPerSecond, int nodes, int partitions, int ownedPartitions) {
        double rest = Math.max(0, totalPerSecond - claimsPerSecond) / Math.max(1, nodes);
        return rest + claimsPerSecond * ownedPartitions / Math.max(1, partitions);
    }

    /**
     * Takes a token if the priority may.
     *
     * @param priority the call's priority
     * @param nowMillis monotonic time in milliseconds
     * @return zero if the call may be made now, else milliseconds until it is worth asking again
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
