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
    /** Makes an unmodifiable copy of the sessions; null elements are rejected with NullPointerException. */
    public EvictionInput {
        sessions = List.copyOf(sessions);
    }
}
