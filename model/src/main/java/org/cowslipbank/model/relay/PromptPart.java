package org.cowslipbank.model.relay;

/**
 * A part of a prompt; equal parts after equal parts are cached once.
 *
 * @param id the part's identifier
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
