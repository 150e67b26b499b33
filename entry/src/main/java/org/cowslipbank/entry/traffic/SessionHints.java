package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.List;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.UpstreamId;

/**
 * Remembers the engine on which each session last ran, because it may still hold the prompt's blocks in its own cache.
 * A wrong hint only costs time.
 */
final class SessionHints {
    private static final int MAX_SESSIONS = 20_000;
    private final Cache<String, Hint> hints;

    SessionHints(long ttlMillis) {
        hints = Caffeine.newBuilder()
                .maximumSize(MAX_SESSIONS)
                .expireAfterWrite(Duration.ofMillis(ttlMillis))
                .build();
    }

    void recordRun(String session, UpstreamId upstream, List<BlockIdentity> chain) {
        if (chain.isEmpty()) {
            return;
        }
        hints.put(
                session,
                new Hint(upstream, chain.size(), chain.get(chain.size() - 1).key()));
    }

    int localBlocks(String session, UpstreamId upstream, List<BlockIdentity> chain) {
        Hint hint = hints.getIfPresent(session);
        if (hint == null || !hint.upstream().equals(upstream) || hint.blocks() > chain.size()) {
            return 0;
        }
        boolean samePrefix = chain.get(hint.blocks() - 1).key().equals(hint.lastKey());
        return samePrefix ? hint.blocks() : 0;
    }

    private record Hint(UpstreamId upstream, int blocks, BlockKey lastKey) {}
}
