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

/** Tracks for how long each team's sessions stay idle between runs at this node. */
final class SessionGapTracker {
    private static final int MAX_SESSIONS = 20_000;
    private static final Duration TRACKING_TIME = Duration.ofHours(48);

    private final Map<TeamId, GapHistogram> histories = new ConcurrentHashMap<>();
    private final Cache<String, IdleSession> sessions = Caffeine.newBuilder()
            .maximumSize(MAX_SESSIONS)
            .expireAfterWrite(TRACKING_TIME)
            .evictionListener((String key, IdleSession idle, RemovalCause cause) -> recordNoReturn(idle))
            .build();

    void recordPromptStart(PromptRequest request, long nowMillis) {
        IdleSession idle = request.hasSession() ? sessions.asMap().remove(key(request)) : null;
        if (idle != null) {
            histories.computeIfPresent(
                    idle.team(), (team, history) -> history.withReturn(nowMillis - idle.endedAtMillis()));
        }
    }

    void recordRunEnd(PromptRequest request, List<BlockIdentity> chain, double recomputeBlockMillis, long nowMillis) {
        histories.putIfAbsent(request.team().id(), GapHistogram.empty());
        if (request.hasSession()) {
            sessions.put(
                    key(request),
                    new IdleSession(key(request), request.team().id(), nowMillis, chain, recomputeBlockMillis));
        }
    }

    GapHistogram history(TeamId team) {
        return histories.getOrDefault(team, GapHistogram.empty());
    }

    // A session that is evicted counts as idle for the whole tracking time.
    private void recordNoReturn(IdleSession idle) {
        histories.computeIfPresent(idle.team(), (team, history) -> history.withAway(0, TRACKING_TIME.toMillis()));
    }

    private static String key(PromptRequest request) {
        return Rendezvous.key(request.team().id().value(), request.session().value());
    }

    /** Records that a session has no blocks left at its store. */
    void recordBlocksFreed(IdleSession session) {
        IdleSession withoutBlocks = new IdleSession(
                session.key(), session.team(), session.endedAtMillis(), List.of(), session.recomputeBlockMillis());
        sessions.asMap().replace(session.key(), session, withoutBlocks);
    }

    /** Returns the sessions that are idle. */
    List<IdleSession> idleSessions() {
        return List.copyOf(sessions.asMap().values());
    }

    /**
     * A session between two runs.
     *
     * @param key the key of team and session
     * @param team the team
     * @param endedAtMillis when its last run ended, in milliseconds of the monotonic clock
     * @param chain block identities of that run's full pieces
     * @param recomputeBlockMillis time to recompute one block, in milliseconds
     */
    record IdleSession(
            String key, TeamId team, long endedAtMillis, List<BlockIdentity> chain, double recomputeBlockMillis) {}
}
