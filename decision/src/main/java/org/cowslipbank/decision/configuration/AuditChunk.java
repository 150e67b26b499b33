package org.cowslipbank.decision.configuration;

import java.util.List;

/**
 * Older audit records that have been moved out of the configuration root.
 *
 * @param previousKey key of the preceding chunk in the key-value service, empty for the first chunk
 * @param records the records, oldest first
 */
public record AuditChunk(String previousKey, List<AuditRecord> records) {
    /** Makes an unmodifiable copy of the records; null elements are rejected with NullPointerException. */
    public AuditChunk {
        records = List.copyOf(records);
    }
}
