package org.cowslipbank.decision.claims;

import java.util.List;

/**
 * A log value.
 *
 * @param batchId identifier by which its writer recognizes it after a lost response
 * @param previousBatchId identifier of the value before it, empty for the first one. A value that was created again under
 *     a deleted sequence does not fit the chain
 * @param entries the entries in order
 */
public record ClaimBatch(String batchId, String previousBatchId, List<LogEntry> entries) {
    /** Copies the list. */
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
