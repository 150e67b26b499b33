package org.cowslipbank.adapters;

import java.util.List;

import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreTier;

/** Messages of a store's JSON interface beyond the port records. */
public final class StoreWire {
    /** Header with the block's identity as JSON. */
    public static final String IDENTITY_HEADER = "x-block-identity";
    /** Header with the block's generation. */
    public static final String GENERATION_HEADER = "x-block-generation";

    private StoreWire() {}

    /**
     * Asks for blocks.
     *
     * @param keys the keys
     */
    public record Find(List<BlockKey> keys) {}

    /**
     * References to committed blocks.
     *
     * @param blocks the references
     */
    public record Found(List<BlockRef> blocks) {}

    /**
     * Frees or moves a block.
     *
     * @param key the block
     * @param generation its generation
     * @param tier the tier, for a move
     */
    public record BlockCall(BlockKey key, long generation, StoreTier tier) {}

    /**
     * A write that has begun.
     *
     * @param writeId the write
     */
    public record Begun(long writeId) {}

    /**
     * Commits a write.
     *
     * @param writeId the write
     * @param lengthBytes length of the data in bytes
     * @param checksum checksum of the data
     */
    public record Commit(long writeId, long lengthBytes, long checksum) {}
}
