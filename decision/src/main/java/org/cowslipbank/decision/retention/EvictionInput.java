package org.cowslipbank.decision.retention;

import java.util.List;

/**
 * A tier that must give up bytes.
 *
 * @param sessions what it holds
 * @param bytesToFree bytes to give up
 * @param policy the rules
 */
public record EvictionInput(List<RetainedSession> sessions, long bytesToFree, RetentionPolicy policy) {
    /** Copies the list. */
    public EvictionInput {
        sessions = List.copyOf(sessions);
    }
}
