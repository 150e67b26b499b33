package org.cowslipbank.decision.relay;

/**
 * Whether a node may give orders: it holds the giver's lease, and the orders of an earlier giver are long enough ago.
 * Both clocks count, because a suspended VM's monotonic clock stands still.
 *
 * @param heldSince when the lease was first held without a break
 * @param validUntil until when the last renewal holds
 * @param afterAnother true if another node may have given orders before
 */
public record OrderTurn(Moment heldSince, Moment validUntil, boolean afterAnother) {
    /** Part of a lease that is not used, for an order that is under way when it ends. */
    public static final long LEASE_MARGIN_MILLIS = 600;

    /** Part of that margin that a successor does not count on: clocks of two VMs differ slightly in rate. */
    static final long RATE_MARGIN_MILLIS = 150;

    /**
     * A moment on both clocks.
     *
     * @param monotonicMillis monotonic time in milliseconds
     * @param wallMillis time of day in Unix milliseconds
     */
    public record Moment(long monotonicMillis, long wallMillis) {
        /**
         * Returns a later moment.
         *
         * @param millis milliseconds to add
         * @return the moment
         */
        public Moment plus(long millis) {
            return new Moment(monotonicMillis + millis, wallMillis + millis);
        }

        /**
         * Tells whether both clocks are before another moment.
         *
         * @param other the other moment
         * @return true if they are
         */
        public boolean isBefore(Moment other) {
            return monotonicMillis < other.monotonicMillis && wallMillis < other.wallMillis;
        }
    }

    /**
     * Tells whether an order may be given now.
     *
     * @param now the time
     * @param turnMillis time that must pass between the orders of two givers, in milliseconds
     * @return true if it may
     */
    public boolean mayOrder(Moment now, long turnMillis) {
        if (!now.plus(LEASE_MARGIN_MILLIS).isBefore(validUntil)) {
            return false;
        }
        // The earlier giver stopped that long before its lease ended, and this one was taken after that end.
        long sinceStopMillis = LEASE_MARGIN_MILLIS - RATE_MARGIN_MILLIS;
        return !afterAnother || now.monotonicMillis() - heldSince.monotonicMillis() >= turnMillis - sinceStopMillis;
    }
}
