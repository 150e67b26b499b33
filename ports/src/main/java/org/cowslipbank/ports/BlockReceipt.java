package org.cowslipbank.ports;

import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;

/**
 * What an engine received for one block.
 *
 * @param identity the identity that came with the data
 * @param generation the generation that the store named
 * @param lengthBytes the bytes received
 * @param checksum the checksum of the bytes received
 */
public record BlockReceipt(BlockIdentity identity, long generation, long lengthBytes, long checksum) {
    /**
     * Tells whether the receipt is for exactly the referenced block.
     *
     * @param ref the reference
     * @return true if identity, generation, length and checksum are equal
     */
    public boolean matches(BlockRef ref) {
        return identity.equals(ref.identity())
                && generation == ref.generation()
                && lengthBytes == ref.lengthBytes()
                && checksum == ref.checksum();
    }
}
