package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreTier;
import reactor.core.publisher.Mono;

/** A store VM. Engines transfer the data; nodes ask what is there, move blocks between tiers and free them. */
public interface Store {
    /**
     * Asks which of some blocks are committed here.
     *
     * @param keys the keys, in prompt order
     * @return references to the committed ones, in the same order
     */
    Mono<List<BlockRef>> find(List<BlockKey> keys);

    /**
     * Frees a block of a stated generation. A later generation is left alone.
     *
     * @param key the block
     * @param generation the generation
     * @return true if the block was freed
     */
    Mono<Boolean> free(BlockKey key, long generation);

    /**
     * Moves a block to a tier.
     *
     * @param key the block
     * @param generation the generation
     * @param tier the tier
     * @return true if the block is now in the tier
     */
    Mono<Boolean> move(BlockKey key, long generation, StoreTier tier);

    /**
     * Reads the store's status.
     *
     * @return the status
     */
    Mono<StoreStatus> status();
}
