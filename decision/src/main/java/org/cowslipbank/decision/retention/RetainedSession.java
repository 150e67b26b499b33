package org.cowslipbank.decision.retention;

import org.cowslipbank.model.StoreTier;

/**
 * Blocks of one session at one store, as a candidate for eviction.
 *
 * @param id names the session to the caller of the decision
 * @param tier the tier
 * @param blocks number of blocks
 * @param blockBytes length of one block
 * @param awayMillis time since the session's last run ended, in milliseconds
 * @param history gaps of the session's team
 * @param recomputeBlockMillis time to recompute one block
 */
public record RetainedSession(
        long id,
        StoreTier tier,
        int blocks,
        long blockBytes,
        long awayMillis,
        GapHistogram history,
        double recomputeBlockMillis) {}
