package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.UpstreamId;
import reactor.core.publisher.Mono;

/** What is known of sessions that may return, and which of their blocks are already staged at an engine. */
final class Prefetches {
    private static final int MAX_SESSIONS = 20_000;
    private static final int MAX_STAGED = 2_000;
    private static final Duration FOLLOWED = Duration.ofHours(24);
    // Engines drop staged blocks that no prompt uses; a caller that has looked up addresses comes within seconds.
    private static final Duration STAGED = Duration.ofSeconds(15);

    private final Cache<String, PromptOutline> lastRuns = Caffeine.newBuilder()
            .maximumSize(MAX_SESSIONS)
            .expireAfterWrite(FOLLOWED)
            .build();
    private final Cache<String, Mono<Staged>> staged = Caffeine.newBuilder()
            .maximumSize(MAX_STAGED)
            .expireAfterWrite(STAGED)
            .build();

    void ran(String session, PromptRequest request, Placed placed) {
        if (!request.hasSession() || placed.chain().isEmpty()) {
            return;
        }
        PromptOutline run = new PromptOutline(
                request.team(),
                request.session(),
                placed.model(),
                placed.chain(),
                request.prompt().length());
        lastRuns.put(session, run);
    }

    Optional<PromptOutline> lastRun(String session) {
        return Optional.ofNullable(lastRuns.getIfPresent(session));
    }

    /** Keeps a prefetch; it starts once and its result is shared. */
    void begin(String session, Mono<Staged> prefetch) {
        Mono<Staged> shared = prefetch.cache();
        staged.put(session, shared);
        shared.subscribe(done -> {}, error -> staged.invalidate(session));
    }

    boolean isKnown(String session) {
        return staged.getIfPresent(session) != null;
    }

    /** Returns the blocks staged for a session, after a prefetch that still runs; empty if there is none. */
    Mono<Staged> await(String session) {
        Mono<Staged> running = staged.getIfPresent(session);
        return running == null
                ? Mono.just(Staged.NONE)
                : running.onErrorReturn(Staged.NONE).defaultIfEmpty(Staged.NONE);
    }

    /**
     * Blocks staged at an engine.
     *
     * @param upstream the engine, null for none
     * @param blocks the blocks whose receipts were compared, in prompt order
     */
    record Staged(UpstreamId upstream, List<BlockIdentity> blocks) {
        static final Staged NONE = new Staged(null, List.of());

        /** Returns the staged blocks that lead a chain, if they are at the given engine. */
        List<BlockIdentity> leading(UpstreamId at, List<BlockIdentity> chain) {
            boolean fits = at.equals(upstream)
                    && blocks.size() <= chain.size()
                    && chain.subList(0, blocks.size()).equals(blocks);
            return fits ? blocks : List.of();
        }
    }
}
