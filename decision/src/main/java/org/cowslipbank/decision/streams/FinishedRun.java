package org.cowslipbank.decision.streams;

/**
 * Finish reason and token counts of a run or of a whole answer.
 *
 * @param reason why it ended, {@code stop} or {@code length}
 * @param promptTokens number of prompt tokens
 * @param cachedTokens number of prompt tokens taken from the cache instead of recomputed
 * @param importedTokens number of cached tokens that came from imported blocks
 * @param completionTokens number of generated tokens; of one run in an event, of the whole answer in an effect
 * @param usageKnown false if the engine died after the last token and before it reported the prompt's token counts
 */
public record FinishedRun(
        String reason,
        int promptTokens,
        int cachedTokens,
        int importedTokens,
        int completionTokens,
        boolean usageKnown) {
    /** Reason of an answer that reached its token limit. */
    public static final String LENGTH = "length";

    FinishedRun withCompletionTokens(int tokens) {
        return new FinishedRun(reason, promptTokens, cachedTokens, importedTokens, tokens, usageKnown);
    }
}
