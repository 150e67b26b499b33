package org.cowslipbank.decision.streams;

/**
 * How a run or an answer finished.
 *
 * @param reason why it ended, {@code stop} or {@code length}
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens that were not recomputed
 * @param importedTokens the part of the cached tokens that came from imported blocks
 * @param completionTokens tokens generated: by the run in an event, in the whole answer in an effect
 * @param usageKnown false if the engine died after the last token, before it named the prompt's token counts
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
