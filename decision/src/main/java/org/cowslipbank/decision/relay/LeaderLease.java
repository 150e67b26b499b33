package org.cowslipbank.decision.relay;

/**
 * Leader lease under which a node may send orders to engines. Orders are allowed while the lease is valid and the
 * orders of a previous leader are long enough ago. Validity is checked on both clocks, because the monotonic clock of a
 * VM stops while it is suspended.
 *
 * @param heldSince start of the current uninterrupted holding of the lease
 * @param validUntil expiry set by the last renewal
 * @param afterAnother true if another node may have sent orders before
 */
public record LeaderLease(ClockReading heldSince, ClockReading validUntil, boolean afterAnother) {
    /** Time before expiry from which no order is sent, so that an order in transit arrives before the lease expires. */
    public static final long LEASE_MARGIN_MILLIS = 600;

    /**
     * Part of that margin on which a successor does not rely: the clocks of two VMs run at slightly different rates.
     */
    static final long CLOCK_DRIFT_MARGIN_MILLIS = 150;

    /**
     * A point in time on both clocks.
     *
     * @param monotonicMillis reading of the monotonic clock in milliseconds
     * @param wallMillis reading of the wall clock in Unix milliseconds
     */
    public record ClockReading(long monotonicMillis, long wallMillis) {
        /**
         * Adds a duration to both clocks.
         *
         * @param millis the duration in milliseconds
         * @return the later point in time
         */
        public ClockReading plus(long millis) {
            return new ClockReading(monotonicMillis + millis, wallMillis + millis);
        }

        /**
         * Returns whether this point in time is earlier than another one on both clocks.
         *
         * @param other the other point in time
         * @return true if both readings are lower
         */
        public boolean isBefore(ClockReading other) {
            return monotonicMillis < other.monotonicMillis && wallMillis < other.wallMillis;
        }
    }

    /**
     * Returns whether an order may be sent now.
     *
     * @param now the current time
     * @param minGapMillis minimum time between the orders of two leaders, in milliseconds
     * @return true if the lease is valid and the minimum time since a previous leader's last order has passed
     */
    public boolean maySendOrder(ClockReading now, long minGapMillis) {
        if (!now.plus(LEASE_MARGIN_MILLIS).isBefore(validUntil)) {
            return false;
        }
        // The previous leader stopped this long before its lease expired, and this lease was acquired after that.
        long stoppedBeforeExpiryMillis = LEASE_MARGIN_MILLIS - CLOCK_DRIFT_MARGIN_MILLIS;
        return !afterAnother
                || now.monotonicMillis() - heldSince.monotonicMillis() >= minGapMillis - stoppedBeforeExpiryMillis;
    }
}
