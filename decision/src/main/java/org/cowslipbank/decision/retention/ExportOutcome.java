package org.cowslipbank.decision.retention;

import org.cowslipbank.model.StoreTier;

/**
 * Result of the export decision.
 *
 * @param reason why blocks are exported or not
 * @param blocks number of leading blocks to export
 * @param tier the tier of the store that keeps them
 * @param returnProbability probability that the session returns within the horizon, from 0 to 1
 */
public record ExportOutcome(Reason reason, int blocks, StoreTier tier, double returnProbability) {
    /** Reason of an export decision. */
    public enum Reason {
        /** The blocks are worth more than the link time they take. */
        WORTH_KEEPING,
        /** The expected saving is below the cost of the link. */
        NOT_WORTH_LINK,
        /** The engine would evict the blocks before the link is free for them. */
        LINK_BUSY,
        /** The blocks would exceed the limit of both tiers. */
        STORE_FULL
    }
}
