package org.cowslipbank.decision.retention;

import java.util.List;

/**
 * Input of the eviction decision for one tier of a store.
 *
 * @param sessions the sessions whose blocks the tier holds
 * @param bytesToFree number of bytes to free
 * @param horizonMillis time in milliseconds within which a session must return for its blocks to have value; short for
 *     memory, whose content changes quickly
 */
public record EvictionInput(List<RetainedSession> sessions, long bytesToFree, long horizonMillis) {
    /** Copies the sessions. */
    public EvictionInput {
        sessions = List.copyOf(sessions);
    }
}
