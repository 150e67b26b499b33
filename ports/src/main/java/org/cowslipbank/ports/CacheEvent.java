package org.cowslipbank.ports;

import org.cowslipbank.model.BlockKey;

/**
 * A hint about an engine's own cache.
 *
 * @param sequence the engine's sequence number; a jump shows a gap
 * @param key the block
 * @param present true if the block was added, false if it was evicted
 */
public record CacheEvent(long sequence, BlockKey key, boolean present) {}
