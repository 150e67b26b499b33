package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Audit record of one configuration change.
 *
 * @param revision the revision that the change created
 * @param changeId identifier of the change
 * @param operator the operator who made the change
 * @param reason the operator's reason for the change
 * @param wallMillis time of the change in milliseconds since the epoch
 * @param difference the first lines of the difference from the preceding revision; long lines are cut
 * @param differenceLines number of lines of the whole difference
 * @param mayLag data centres that the operator allowed to lag
 */
public record AuditRecord(
        long revision,
        String changeId,
        String operator,
        String reason,
        long wallMillis,
        List<String> difference,
        int differenceLines,
        List<String> mayLag) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public AuditRecord {
        difference = List.copyOf(difference);
        mayLag = List.copyOf(mayLag);
    }
}
