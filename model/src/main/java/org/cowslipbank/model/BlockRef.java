package org.cowslipbank.model;

/**
 * Refers to one committed block at one store. A reader compares all fields with what it received before it uses the
 * block, so a block that was freed, rewritten or cut short is never read.
 *
 * @param store the store VM
 * @param identity expected content of the block
 * @param generation the store's generation number of the block; it changes when the block is freed
 * @param lengthBytes length of the data in bytes
 * @param checksum checksum of the data
 * @param tier the tier that holds the block
 */
public record BlockRef(
        StoreId store, BlockIdentity identity, long generation, long lengthBytes, long checksum, StoreTier tier) {}
