package org.cowslipbank.model;

/**
 * Describes what a cache block holds. It is carried unhashed next to the key, so that every reader can verify the
 * block.
 *
 * @param team the owning team
 * @param model the model, weight version and adapter that produced the block
 * @param pieceIndex position of the block in its prompt, from zero
 * @param key the chain key
 */
public record BlockIdentity(TeamId team, ModelRef model, int pieceIndex, BlockKey key) {}
