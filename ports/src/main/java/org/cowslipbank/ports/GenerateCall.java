package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.TeamId;

/**
 * Parameters of one run of a prompt.
 *
 * @param attempt the attempt, by which late answers are matched
 * @param team the team
 * @param model the expected model, weight version and adapter; the engine reports the version that it ran
 * @param prompt the prompt's text
 * @param continuation tokens already sent to the caller by an earlier attempt, empty for a new run
 * @param pieceBytes length in bytes of the pieces into which the node cuts the prompt; block indices count these pieces
 * @param stagedBlocks blocks imported for this run and verified by their receipts, in prompt order
 * @param cacheSalt the team's salt for the engine's own prefix cache
 * @param maxTokens largest number of tokens to generate, not counting the continuation
 * @param priority larger values run first
 */
public record GenerateCall(
        AttemptId attempt,
        TeamId team,
        ModelRef model,
        String prompt,
        List<String> continuation,
        int pieceBytes,
        List<BlockIdentity> stagedBlocks,
        String cacheSalt,
        int maxTokens,
        int priority) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public GenerateCall {
        continuation = List.copyOf(continuation);
        stagedBlocks = List.copyOf(stagedBlocks);
    }
}
