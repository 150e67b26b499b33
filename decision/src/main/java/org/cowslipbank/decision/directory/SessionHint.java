package org.cowslipbank.decision.directory;

import java.util.List;

import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.TeamId;

/**
 * Hint about which stores hold the retained prompt of a session. A hint may be outdated; the receipt of each block is
 * compared with its reference before the block is used.
 *
 * @param team the team
 * @param session the session
 * @param model the model, weight version and adapter of the blocks
 * @param blocks references to the blocks in prompt order
 * @param lastRunMillis end of the session's last run in milliseconds
 */
public record SessionHint(TeamId team, SessionKey session, ModelRef model, List<BlockRef> blocks, long lastRunMillis) {
    /** Makes an unmodifiable copy of the blocks; null elements are rejected with NullPointerException. */
    public SessionHint {
        blocks = List.copyOf(blocks);
    }
}
