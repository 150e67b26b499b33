package org.cowslipbank.decision.claims;

import java.util.List;

/**
 * Snapshot segment: consecutive log values in one value of the key-value service.
 *
 * @param firstSequence sequence of the first batch
 * @param batches the batches in ascending order of their sequences
 */
public record SegmentValue(long firstSequence, List<ClaimBatch> batches) {
    /** Makes an unmodifiable copy of the batches; null elements are rejected with NullPointerException. */
    public SegmentValue {
        batches = List.copyOf(batches);
    }
}
