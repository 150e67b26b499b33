package org.cowslipbank.ports;

import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;

/**
 * Receipt of an engine for one imported block: what arrived, to be compared with what was requested.
 *
 * @param identity the identity sent with the data
 * @param generation the generation stated by the store
 * @param lengthBytes number of bytes received
 * @param checksum the checksum of number of bytes received
 */
public record BlockReceipt(BlockIdentity identity, long generation, long lengthBytes, long checksum) {
    /**
     * Returns whether the engine received exactly the referenced block.
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
