package org.cowslipbank.decision.claims;

import java.util.List;

/**
 * One value of a partition's log: a batch of entries that are recorded together.
 *
 * @param batchId identifier by which its writer recognizes it after a lost response
 * @param previousBatchId identifier of the preceding value, empty for the first one. It does not match if the value was
 *     created a second time under a deleted sequence
 * @param entries the entries in the order in which they take effect
 */
public record ClaimBatch(String batchId, String previousBatchId, List<LogEntry> entries) {
    /** Makes an unmodifiable copy of the entries; null elements are rejected with NullPointerException. */
    public ClaimBatch {
        entries = List.copyOf(entries);
    }

    long maxWindow() {
        return entries.stream().mapToLong(entry -> entry.key().window()).max().orElse(Long.MIN_VALUE);
    }

    int estimateBytes() {
        return entries.stream().mapToInt(LogEntry::estimateBytes).sum();
    }
}
