package org.cowslipbank.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.BlockKey;

/** The prefix cache of an engine stand-in, with eviction of the least recently used pieces. */
final class EngineCache {
    private final int capacityTokens;
    private final Map<BlockKey, Integer> tokensByKey = new LinkedHashMap<>(16, 0.75f, true);
    private int usedTokens;

    EngineCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    boolean contains(BlockKey key) {
        return tokensByKey.get(key) != null;
    }

    /** Adds a prompt piece and returns the keys of the pieces evicted to make room. */
    List<BlockKey> add(BlockKey key, int tokens) {
        if (tokensByKey.get(key) == null) {
            tokensByKey.put(key, tokens);
            usedTokens += tokens;
        }
        List<BlockKey> evicted = new ArrayList<>();
        while (usedTokens > capacityTokens && tokensByKey.size() > 1) {
            Map.Entry<BlockKey, Integer> eldest =
                    tokensByKey.entrySet().iterator().next();
            usedTokens -= eldest.getValue();
            evicted.add(eldest.getKey());
            tokensByKey.remove(eldest.getKey());
        }
        return evicted;
    }

    void clear() {
        tokensByKey.clear();
        usedTokens = 0;
    }
}
