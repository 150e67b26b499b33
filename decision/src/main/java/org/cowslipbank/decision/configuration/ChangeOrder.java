package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Who makes a change, and why.
 *
 * @param changeId identifier of the change, unique to it; a repeated request carries the same one
 * @param operator who makes it
 * @param reason why, in the operator's words
 * @param wallMillis when, in milliseconds since the epoch
 * @param mayLag data centres that the operator allows to lag
 */
public record ChangeOrder(String changeId, String operator, String reason, long wallMillis, List<String> mayLag) {
    /** Copies the list. */
    public ChangeOrder {
        mayLag = List.copyOf(mayLag);
    }
}
