package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.UpstreamId;
import reactor.core.publisher.Mono;

/** Caches the last run of each session, and the blocks that a prefetch has staged for its next prompt. */
final class PrefetchCache {
    private static final int MAX_SESSIONS = 20_000;
    private static final int MAX_PREFETCHES = 2_000;
    private static final Duration LAST_RUN_TTL = Duration.ofHours(24);
    // Engines drop staged blocks that no prompt uses; a caller sends its prompt within seconds of an endpoint lookup.
    private static final Duration PREFETCH_TTL = Duration.ofSeconds(15);

    private final Cache<String, PromptOutline> lastRuns = Caffeine.newBuilder()
            .maximumSize(MAX_SESSIONS)
            .expireAfterWrite(LAST_RUN_TTL)
            .build();
    private final Cache<String, Mono<StagedBlocks>> prefetches = Caffeine.newBuilder()
            .maximumSize(MAX_PREFETCHES)
            .expireAfterWrite(PREFETCH_TTL)
            .build();

    void recordRun(String session, PromptRequest request, RoutedPrompt routed) {
        if (!request.hasSession() || routed.chain().isEmpty()) {
            return;
        }
        PromptOutline run = new PromptOutline(
                request.team(),
                request.session(),
                routed.model(),
                routed.chain(),
                request.prompt().length());
        lastRuns.put(session, run);
    }

    Optional<PromptOutline> lastRun(String session) {
        return Optional.ofNullable(lastRuns.getIfPresent(session));
    }

    /** Starts a prefetch and shares its result with all waiters; a prefetch that fails is removed. */
    void start(String session, Mono<StagedBlocks> prefetch) {
        Mono<StagedBlocks> shared = prefetch.cache();
        prefetches.put(session, shared);
        shared.subscribe(done -> {}, error -> prefetches.invalidate(session));
    }

    boolean hasPrefetch(String session) {
        return prefetches.getIfPresent(session) != null;
    }

    /** Waits for the prefetch of a session and returns its blocks; none if it failed or there is none. */
    Mono<StagedBlocks> await(String session) {
        Mono<StagedBlocks> running = prefetches.getIfPresent(session);
        return running == null
                ? Mono.just(StagedBlocks.NONE)
                : running.onErrorReturn(StagedBlocks.NONE).defaultIfEmpty(StagedBlocks.NONE);
    }

    /**
     * Blocks staged at an engine.
     *
     * @param upstream the engine, null if no blocks are staged
     * @param blocks the verified blocks in prompt order
     */
    record StagedBlocks(UpstreamId upstream, List<BlockIdentity> blocks) {
        static final StagedBlocks NONE = new StagedBlocks(null, List.of());

        /** Returns the staged blocks if they are at the given engine and form a prefix of the chain, else none. */
        List<BlockIdentity> matchingPrefix(UpstreamId engine, List<BlockIdentity> chain) {
            boolean matches = engine.equals(upstream)
                    && blocks.size() <= chain.size()
                    && chain.subList(0, blocks.size()).equals(blocks);
            return matches ? blocks : List.of();
        }
    }
}
