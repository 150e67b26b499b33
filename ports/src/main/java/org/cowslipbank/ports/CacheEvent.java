package org.cowslipbank.ports;

import org.cowslipbank.model.BlockKey;

/**
 * A change of an engine's own prefix cache. It is a hint only: events can be late or lost.
 *
 * @param sequence the engine's sequence number; a jump means that events were lost
 * @param key the block
 * @param present true if the block was added, false if it was evicted
 */
public record CacheEvent(long sequence, BlockKey key, boolean present) {}
