package org.cowslipbank.ports;

import java.util.List;

import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreTier;
import reactor.core.publisher.Mono;

/** Client of a store VM. Engines transfer the data; nodes look up blocks, move them between tiers and free them. */
public interface Store {
    /**
     * Looks up which of the given blocks are committed at this store.
     *
     * @param keys the keys, in prompt order
     * @return references to the committed blocks, in the order of the keys
     */
    Mono<List<BlockRef>> find(List<BlockKey> keys);

    /**
     * Frees a block if it still has the given generation; a block of a later generation is kept.
     *
     * @param key the block
     * @param generation the generation to free
     * @return true if the block was freed
     */
    Mono<Boolean> free(BlockKey key, long generation);

    /**
     * Moves a block to another tier.
     *
     * @param key the block
     * @param generation the generation
     * @param tier the target tier
     * @return true if the block is now in the target tier
     */
    Mono<Boolean> move(BlockKey key, long generation, StoreTier tier);

    /**
     * Reads the store's status.
     *
     * @return the status
     */
    Mono<StoreStatus> status();
}
