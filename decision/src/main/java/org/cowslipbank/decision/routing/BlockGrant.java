package org.cowslipbank.decision.routing;

/**
 * Permission to transfer one block now.
 *
 * @param transferId identifier of the transfer that the block belongs to
 * @param block index of the block within the transfer, from zero
 * @param bytes length of the block in bytes
 */
public record BlockGrant(long transferId, int block, long bytes) {}
