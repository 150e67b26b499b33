package org.cowslipbank.decision.routing;

/**
 * One block that may be transferred now.
 *
 * @param transferId the transfer it belongs to
 * @param block index of the block within the transfer, from zero
 * @param bytes its length
 */
public record BlockGrant(long transferId, int block, long bytes) {}
