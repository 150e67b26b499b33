package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.TeamId;

/**
 * A prompt to run.
 *
 * @param attempt the attempt; late answers are matched by it
 * @param team the team
 * @param model the model, weight version and adapter expected; the engine names the version it ran
 * @param prompt the prompt's text
 * @param continuation tokens already emitted by an earlier attempt, empty for a new run
 * @param pieceBytes length in bytes of the pieces into which the node cuts the prompt; block indices count them
 * @param stagedBlocks blocks imported for this run whose receipts were compared, in prompt order
 * @param cacheSalt the team's salt for the engine's own prefix cache
 * @param maxTokens the most tokens to generate, the continuation not counted
 * @param priority larger runs first
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
    /** Copies the lists. */
    public GenerateCall {
        continuation = List.copyOf(continuation);
        stagedBlocks = List.copyOf(stagedBlocks);
    }
}
