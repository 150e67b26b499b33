package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Older audit records that have been moved out of the configuration root.
 *
 * @param previousKey key of the preceding chunk in the key-value service, empty for the first chunk
 * @param records the records, oldest first
 */
public record AuditChunk(String previousKey, List<AuditRecord> records) {
    /** Copies the records. */
    public AuditChunk {
        records = List.copyOf(records);
    }
}
