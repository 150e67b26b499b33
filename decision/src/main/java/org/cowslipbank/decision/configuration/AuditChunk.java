package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Older audit records, moved out of the root.
 *
 * @param previousKey key of the chunk before it, empty for the first
 * @param records the records, oldest first
 */
public record AuditChunk(String previousKey, List<AuditRecord> records) {
    /** Copies the list. */
    public AuditChunk {
        records = List.copyOf(records);
    }
}
