package org.cowslipbank.decision.relay;

/**
 * Latest time at which the metadata store is known to have had no newer configuration than the one in force. The
 * monotonic clock of a VM stops while it is suspended and its wall clock may jump, so both readings are kept and the
 * larger age counts.
 *
 * @param monotonicMillis the reading of the monotonic clock in milliseconds
 * @param wallMillis the reading of the wall clock in Unix milliseconds
 */
public record ConfigurationConfirmation(long monotonicMillis, long wallMillis) {
    /**
     * Safety margin subtracted from a bound: the time of an answer is known only to a few milliseconds,
     * and the clocks of VMs run at slightly different rates.
     */
    static final long SAFETY_MARGIN_MILLIS = 400;

    /**
     * Returns the time since the confirmation: the larger age on the two clocks.
     *
     * @param nowMonotonicMillis the monotonic time in milliseconds
     * @param nowWallMillis the wall clock time in Unix milliseconds
     * @return the age in milliseconds
     */
    public long ageMillis(long nowMonotonicMillis, long nowWallMillis) {
        return Math.max(nowMonotonicMillis - monotonicMillis, nowWallMillis - wallMillis);
    }

    /**
     * Returns whether the configuration may be acted on, as no newer one must be in force yet.
     *
     * @param boundMillis time after which a newer configuration must be in force, in milliseconds: the revocation bound for keys
     *     that it accepts, the bound of a change for what it does not know
     * @param nowMonotonicMillis the monotonic time in milliseconds
     * @param nowWallMillis the wall clock time in Unix milliseconds
     * @return true if a configuration that was written just after this confirmation is still within the bound
     */
    public boolean isWithin(long boundMillis, long nowMonotonicMillis, long nowWallMillis) {
        return ageMillis(nowMonotonicMillis, nowWallMillis) < boundMillis - SAFETY_MARGIN_MILLIS;
    }
}
