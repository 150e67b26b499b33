package org.cowslipbank.decision.membership;

/**
 * Whether this node has to synchronise its member table with the nodes of a data centre. Uses a counter instead of a
 * flag, because tables differ briefly whenever a fact spreads.
 *
 * @param score incremented for each differing table hash and decremented for each equal one
 * @param cursor position after which the next part of the peer's table starts
 */
record SyncState(int score, String cursor) {
    static final SyncState AGREED = new SyncState(0, "");
    private static final int SYNC_THRESHOLD = 20;
    private static final int MAX_SCORE = 25;

    static final SyncState NEEDED = new SyncState(MAX_SCORE, "");

    SyncState withComparison(boolean equal) {
        int next = equal ? Math.max(0, score - 1) : Math.min(MAX_SCORE, score + 1);
        return next == 0 ? AGREED : new SyncState(next, cursor);
    }

    SyncState withCursor(String nextCursor) {
        return new SyncState(score, nextCursor);
    }

    boolean isNeeded() {
        return score >= SYNC_THRESHOLD;
    }
}
