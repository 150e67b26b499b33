package org.cowslipbank.adapters;

import java.util.List;

import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreTier;

/** Headers and bodies of a store's HTTP interface that are not records of the ports module. */
public final class StoreWire {
    /** Header with the block's identity as Base64-encoded JSON. */
    public static final String IDENTITY_HEADER = "x-block-identity";
    /** Header with the block's generation. */
    public static final String GENERATION_HEADER = "x-block-generation";

    private StoreWire() {}

    /**
     * Request to look up blocks.
     *
     * @param keys the blocks' keys
     */
    public record FindCall(List<BlockKey> keys) {}

    /**
     * Response to a lookup of blocks.
     *
     * @param blocks references to those of the blocks that are committed
     */
    public record FindResponse(List<BlockRef> blocks) {}

    /**
     * Request to free a block or to move it to another tier.
     *
     * @param key the block's key
     * @param generation the block's generation
     * @param tier the target tier, for a move; null to free the block
     */
    public record BlockCall(BlockKey key, long generation, StoreTier tier) {}

    /**
     * Response to the start of a write.
     *
     * @param writeId identifier of the uncommitted write
     */
    public record BeginWriteResponse(long writeId) {}

    /**
     * Request to commit a write.
     *
     * @param writeId identifier of the uncommitted write
     * @param lengthBytes length of the data in bytes
     * @param checksum checksum of the data
     */
    public record CommitCall(long writeId, long lengthBytes, long checksum) {}
}
