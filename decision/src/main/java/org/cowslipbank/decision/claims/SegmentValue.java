package org.cowslipbank.decision.claims;

import java.util.List;

/**
 * A snapshot value: consecutive log values in one.
 *
 * @param firstSequence sequence of the first batch
 * @param batches the batches in order
 */
public record SegmentValue(long firstSequence, List<ClaimBatch> batches) {
    /** Copies the list. */
    public SegmentValue {
        batches = List.copyOf(batches);
    }
}
