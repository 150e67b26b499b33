package org.cowslipbank.decision.directory;

import java.util.List;

import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.TeamId;

/**
 * What a node remembers of a session's retained prompt. A hint may be wrong; the receipt of each block is compared with
 * its reference before the block is used.
 *
 * @param team the team
 * @param session the session
 * @param model the model, weight version and adapter of the blocks
 * @param blocks references in prompt order
 * @param lastRunMillis when the session's last run ended, in milliseconds
 */
public record SessionHint(TeamId team, SessionKey session, ModelRef model, List<BlockRef> blocks, long lastRunMillis) {
    /** Copies the list. */
    public SessionHint {
        blocks = List.copyOf(blocks);
    }
}
