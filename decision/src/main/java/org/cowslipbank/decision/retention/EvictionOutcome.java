package org.cowslipbank.decision.retention;

import java.util.List;

/**
 * Blocks to give up.
 *
 * @param cuts the sessions that lose blocks, least value first
 */
public record EvictionOutcome(List<Cut> cuts) {
    /** Copies the list. */
    public EvictionOutcome {
        cuts = List.copyOf(cuts);
    }

    /**
     * Loss of one session.
     *
     * @param id the session as named in the input
     * @param keptBlocks leading blocks that stay; the tail goes first, because it is useless without its head
     */
    public record Cut(long id, int keptBlocks) {}
}
