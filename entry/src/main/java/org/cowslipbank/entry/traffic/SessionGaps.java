package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.RemovalCause;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.retention.GapHistogram;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.TeamId;

/** How long the sessions of each team stay away, as far as they return to this node. */
final class SessionGaps {
    private static final int MAX_SESSIONS = 20_000;
    private static final Duration FOLLOWED = Duration.ofHours(48);

    private final Map<TeamId, GapHistogram> histories = new ConcurrentHashMap<>();
    private final Cache<String, Ended> sessions = Caffeine.newBuilder()
            .maximumSize(MAX_SESSIONS)
            .expireAfterWrite(FOLLOWED)
            .evictionListener((String key, Ended ended, RemovalCause cause) -> away(ended))
            .build();

    void began(PromptRequest request, long nowMillis) {
        Ended ended = request.hasSession() ? sessions.asMap().remove(key(request)) : null;
        if (ended != null) {
            histories.computeIfPresent(
                    ended.team(), (team, history) -> history.withReturn(nowMillis - ended.atMillis()));
        }
    }

    void ended(PromptRequest request, List<BlockIdentity> chain, double recomputeBlockMillis, long nowMillis) {
        histories.putIfAbsent(request.team().id(), GapHistogram.empty());
        if (request.hasSession()) {
            sessions.put(
                    key(request), new Ended(key(request), request.team().id(), nowMillis, chain, recomputeBlockMillis));
        }
    }

    GapHistogram history(TeamId team) {
        return histories.getOrDefault(team, GapHistogram.empty());
    }

    // Sessions that are no longer followed stayed away for the whole time.
    private void away(Ended ended) {
        histories.computeIfPresent(ended.team(), (team, history) -> history.withAway(0, FOLLOWED.toMillis()));
    }

    private static String key(PromptRequest request) {
        return Rendezvous.key(request.team().id().value(), request.session().value());
    }

    /** Notes that a session has no blocks left at its store. */
    void blocksFreed(Ended session) {
        Ended without =
                new Ended(session.key(), session.team(), session.atMillis(), List.of(), session.recomputeBlockMillis());
        sessions.asMap().replace(session.key(), session, without);
    }

    /** Returns the sessions that are away. */
    List<Ended> sessions() {
        return List.copyOf(sessions.asMap().values());
    }

    /**
     * A session that is away.
     *
     * @param key team and session
     * @param team the team
     * @param atMillis when its last run ended
     * @param chain identities of that run's full pieces
     * @param recomputeBlockMillis time to recompute one block
     */
    record Ended(String key, TeamId team, long atMillis, List<BlockIdentity> chain, double recomputeBlockMillis) {}
}
