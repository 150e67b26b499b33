package org.cowslipbank.model.relay;

/**
 * A part of a prompt. Prompts that start with the same parts share the cache of these parts.
 *
 * @param id the part's identifier
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
