package org.cowslipbank.model.fleet;

import java.util.Optional;

/**
 * State summary of the sender, carried by every probe and acknowledgement.
 *
 * @param tableHash hash over the sender's members, leaving upstreams and suspect requests; equal for equal tables
 * @param revision highest configuration revision in force at the sender
 * @param confirmedAgeMillis age in milliseconds of the last confirmation of that revision by the platform, negative if
 *     it was never confirmed
 * @param syncCursor in a probe: asks for the part of the table after this position; in an acknowledgement: where the
 *     next part starts, an empty text after the last part
 */
public record FleetDigest(int tableHash, long revision, long confirmedAgeMillis, Optional<String> syncCursor) {
    /** The digest of a sender without any state. */
    public static final FleetDigest NONE = new FleetDigest(0, 0, -1, Optional.empty());
}
