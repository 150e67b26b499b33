package org.cowslipbank.model;

/**
 * What a cache block holds, carried in clear beside its key so that every read can compare it.
 *
 * @param team the owning team
 * @param model the model, weight version and adapter that produced the block
 * @param pieceIndex position of the block in its prompt, from zero
 * @param key the chain key
 */
public record BlockIdentity(TeamId team, ModelRef model, int pieceIndex, BlockKey key) {}
