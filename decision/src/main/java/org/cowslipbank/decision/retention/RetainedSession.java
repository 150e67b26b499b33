package org.cowslipbank.decision.retention;

import org.cowslipbank.model.StoreTier;

/**
 * Blocks of one session in one tier of a store, as a candidate for eviction.
 *
 * @param id identifier of the session, chosen by the caller of the decision
 * @param tier the tier that holds the blocks
 * @param blocks number of blocks
 * @param blockBytes length of one block in bytes
 * @param awayMillis time since the session's last run ended, in milliseconds
 * @param history return history of the session's team
 * @param recomputeBlockMillis time to recompute one block, in milliseconds
 */
public record RetainedSession(
        long id,
        StoreTier tier,
        int blocks,
        long blockBytes,
        long awayMillis,
        GapHistogram history,
        double recomputeBlockMillis) {}
