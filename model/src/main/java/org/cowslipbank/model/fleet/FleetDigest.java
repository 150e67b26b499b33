package org.cowslipbank.model.fleet;

/**
 * What every probe and acknowledgement says about its sender.
 *
 * @param tableHash hash of the member table; equal for equal tables
 * @param revision highest configuration revision that the sender knows
 * @param confirmedAgeMillis age in milliseconds of the last confirmation of that revision by the platform, negative if
 *     it was never confirmed
 */
public record FleetDigest(int tableHash, long revision, long confirmedAgeMillis) {
    /** A digest of a sender that knows nothing. */
    public static final FleetDigest NONE = new FleetDigest(0, 0, -1);
}
