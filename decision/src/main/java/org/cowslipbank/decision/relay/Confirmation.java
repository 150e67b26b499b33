package org.cowslipbank.decision.relay;

/**
 * The last moment at which the metadata store is known to have had no newer configuration than the one in force. A
 * suspended VM's monotonic clock stands still and its time of day may jump, so both are kept and the larger age counts.
 *
 * @param monotonicMillis the moment on the monotonic clock, in milliseconds
 * @param wallMillis the moment as time of day, in Unix milliseconds
 */
public record Confirmation(long monotonicMillis, long wallMillis) {
    /**
     * Part of the revocation bound that is not used: the moment of an answer is known to a few milliseconds, and VMs'
     * clocks differ slightly in rate.
     */
    static final long MARGIN_MILLIS = 400;

    /**
     * Returns the age.
     *
     * @param nowMonotonicMillis the monotonic time in milliseconds
     * @param nowWallMillis the time of day in Unix milliseconds
     * @return the age in milliseconds
     */
    public long ageMillis(long nowMonotonicMillis, long nowWallMillis) {
        return Math.max(nowMonotonicMillis - monotonicMillis, nowWallMillis - wallMillis);
    }

    /**
     * Tells whether keys may still be accepted.
     *
     * @param revokeMillis time after which a revoked key must not be accepted, in milliseconds
     * @param nowMonotonicMillis the monotonic time in milliseconds
     * @param nowWallMillis the time of day in Unix milliseconds
     * @return true if a key revoked just after this confirmation may still be accepted
     */
    public boolean allowsKeys(long revokeMillis, long nowMonotonicMillis, long nowWallMillis) {
        return ageMillis(nowMonotonicMillis, nowWallMillis) < revokeMillis - MARGIN_MILLIS;
    }
}
