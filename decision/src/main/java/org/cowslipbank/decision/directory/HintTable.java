package org.cowslipbank.decision.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;

/** LRU table of session hints on one node, bounded by the number of sessions and of blocks. Not thread-safe. */
public final class HintTable {
    private final LinkedHashMap<Key, SessionHint> hints = new LinkedHashMap<>(16, 0.75f, true);
    private final int maxSessions;
    private final int maxBlocks;
    private int blocks;

    /**
     * Creates an empty table.
     *
     * @param maxSessions maximum number of sessions
     * @param maxBlocks maximum number of block references over all sessions
     */
    public HintTable(int maxSessions, int maxBlocks) {
        this.maxSessions = maxSessions;
        this.maxBlocks = maxBlocks;
    }

    /**
     * Stores a hint unless a newer one of the session is present, so that recovery never replaces newer hints.
     *
     * @param hint the hint
     */
    public void put(SessionHint hint) {
        Key key = new Key(hint.team(), hint.session());
        SessionHint current = hints.get(key);
        if (current != null && current.lastRunMillis() > hint.lastRunMillis()) {
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
     * Finds the hint of a session and marks it as recently used.
     *
     * @param team the team
     * @param session the session
     * @return the hint, or empty if there is none
     */
    public Optional<SessionHint> find(TeamId team, SessionKey session) {
        return Optional.ofNullable(hints.get(new Key(team, session)));
    }

    /**
     * Removes all references to blocks in a store that has lost them.
     *
     * @param store the store
     */
    public void removeStore(StoreId store) {
        List<SessionHint> copy = List.copyOf(hints.values());
        for (SessionHint hint : copy) {
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
    public int sessionCount() {
        return hints.size();
    }

    /**
     * Returns all hints.
     *
     * @return a copy in LRU order, the least recently used hint first
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
