package org.cowslipbank.decision.retention;

import java.util.List;

/**
 * Blocks to evict.
 *
 * @param cuts the sessions that lose blocks, in ascending order of their value per byte
 */
public record EvictionOutcome(List<Cut> cuts) {
    /** Makes an unmodifiable copy of the cuts; null elements are rejected with NullPointerException. */
    public EvictionOutcome {
        cuts = List.copyOf(cuts);
    }

    /**
     * Eviction of the last blocks of one session.
     *
     * @param id identifier of the session in the input
     * @param keptBlocks number of leading blocks that are kept; a block is useless without all blocks before it
     */
    public record Cut(long id, int keptBlocks) {}
}
