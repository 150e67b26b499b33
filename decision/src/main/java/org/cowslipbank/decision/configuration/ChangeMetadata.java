package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Audit data of a configuration change: who makes it, when and why.
 *
 * @param changeId unique identifier of the change; a repeated request carries the same identifier
 * @param operator the operator who makes the change
 * @param reason the operator's reason for the change
 * @param wallMillis time of the change in milliseconds since the epoch
 * @param mayLag data centres that the operator allows to lag
 */
public record ChangeMetadata(String changeId, String operator, String reason, long wallMillis, List<String> mayLag) {
    /** Makes an unmodifiable copy of the data centres; null elements are rejected with NullPointerException. */
    public ChangeMetadata {
        mayLag = List.copyOf(mayLag);
    }
}
