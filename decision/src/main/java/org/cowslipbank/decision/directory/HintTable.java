package org.cowslipbank.decision.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;

/** Hints of one node, bounded by sessions and by blocks; the least recently used session goes first. */
public final class HintTable {
    private final LinkedHashMap<Key, SessionHint> hints = new LinkedHashMap<>(16, 0.75f, true);
    private final int maxSessions;
    private final int maxBlocks;
    private int blocks;

    /**
     * Creates an empty table.
     *
     * @param maxSessions the most sessions kept
     * @param maxBlocks the most block references kept over all sessions
     */
    public HintTable(int maxSessions, int maxBlocks) {
        this.maxSessions = maxSessions;
        this.maxBlocks = maxBlocks;
    }

    /**
     * Stores a hint. An older hint than the one known is ignored, so that recovery never replaces newer knowledge.
     *
     * @param hint the hint
     */
    public void put(SessionHint hint) {
        Key key = new Key(hint.team(), hint.session());
        SessionHint known = hints.get(key);
        if (known != null && known.lastRunMillis() > hint.lastRunMillis()) {
            return;
        }
        remove(key);
        hints.put(key, hint);
        blocks += hint.blocks().size();
        while (hints.size() > maxSessions || blocks > maxBlocks) {
            remove(hints.keySet().iterator().next());
        }
    }

    /**
     * Finds the hint of a session.
     *
     * @param team the team
     * @param session the session
     * @return the hint, or empty
     */
    public Optional<SessionHint> find(TeamId team, SessionKey session) {
        return Optional.ofNullable(hints.get(new Key(team, session)));
    }

    /**
     * Drops all references to a store that has lost its blocks.
     *
     * @param store the store
     */
    public void forget(StoreId store) {
        List<SessionHint> all = List.copyOf(hints.values());
        for (SessionHint hint : all) {
            List<BlockRef> kept = hint.blocks().stream()
                    .filter(block -> !block.store().equals(store))
                    .toList();
            if (kept.size() < hint.blocks().size()) {
                remove(new Key(hint.team(), hint.session()));
                put(new SessionHint(hint.team(), hint.session(), hint.model(), kept, hint.lastRunMillis()));
            }
        }
    }

    /**
     * Returns the number of sessions with a hint.
     *
     * @return the number
     */
    public int sessions() {
        return hints.size();
    }

    /**
     * Returns all hints.
     *
     * @return a copy, least recently used first
     */
    public List<SessionHint> snapshot() {
        return List.copyOf(hints.values());
    }

    private void remove(Key key) {
        SessionHint removed = hints.remove(key);
        if (removed != null) {
            blocks -= removed.blocks().size();
        }
    }

    private record Key(TeamId team, SessionKey session) {}
}
