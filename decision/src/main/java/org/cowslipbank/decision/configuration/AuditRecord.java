package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Record of one change.
 *
 * @param revision the revision that the change made
 * @param changeId identifier of the change
 * @param operator who made it
 * @param reason why, in the operator's words
 * @param wallMillis when, in milliseconds since the epoch
 * @param difference the first lines of the difference
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
    /** Copies the lists. */
    public AuditRecord {
        difference = List.copyOf(difference);
        mayLag = List.copyOf(mayLag);
    }
}
