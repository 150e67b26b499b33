package org.cowslipbank.ports;

/**
 * Token counts of a run.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens that were not recomputed, from the engine's own cache or from imported blocks
 * @param importedTokens the part of the cached tokens that came from imported blocks
 * @param completionTokens tokens generated
 */
public record Usage(int promptTokens, int cachedTokens, int importedTokens, int completionTokens) {}
