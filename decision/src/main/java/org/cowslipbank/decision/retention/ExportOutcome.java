package org.cowslipbank.decision.retention;

import org.cowslipbank.model.StoreTier;

/**
 * What is exported.
 *
 * @param reason why this number of blocks
 * @param blocks leading blocks to export
 * @param tier the tier that keeps them
 * @param returnProbability probability of a return within the horizon
 */
public record ExportOutcome(Reason reason, int blocks, StoreTier tier, double returnProbability) {
    /** Why blocks are exported or not. */
    public enum Reason {
        /** The blocks are worth more than the link time they take. */
        WORTH_KEEPING,
        /** The expected saving is below the cost of the link. */
        NOT_WORTH_LINK,
        /** The blocks would have left the engine's memory before their turn on the link. */
        LINK_BUSY,
        /** Neither tier has room below its limit. */
        STORE_FULL
    }
}
