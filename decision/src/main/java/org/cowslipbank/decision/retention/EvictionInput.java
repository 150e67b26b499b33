package org.cowslipbank.decision.retention;

import java.util.List;

/**
 * A tier that must give up bytes.
 *
 * @param sessions what it holds
 * @param bytesToFree bytes to give up
 * @param horizonMillis returns after this time count nothing; short for memory, whose content changes soon
 */
public record EvictionInput(List<RetainedSession> sessions, long bytesToFree, long horizonMillis) {
    /** Copies the list. */
    public EvictionInput {
        sessions = List.copyOf(sessions);
    }
}
