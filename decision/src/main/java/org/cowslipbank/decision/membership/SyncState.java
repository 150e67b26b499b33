package org.cowslipbank.decision.membership;

/**
 * How far this node's member table agrees with those of a data centre. A counter rather than a flag, because tables
 * differ for a moment whenever a fact spreads.
 *
 * @param score rises with each differing table hash, falls with each equal one
 * @param cursor where the next part of the peer's table starts
 */
record SyncState(int score, String cursor) {
    static final SyncState AGREED = new SyncState(0, "");
    private static final int THRESHOLD = 20;
    private static final int MAX_SCORE = 25;

    static final SyncState NEEDED = new SyncState(MAX_SCORE, "");

    SyncState compared(boolean equal) {
        int next = equal ? Math.max(0, score - 1) : Math.min(MAX_SCORE, score + 1);
        return next == 0 ? AGREED : new SyncState(next, cursor);
    }

    SyncState at(String nextCursor) {
        return new SyncState(score, nextCursor);
    }

    boolean isNeeded() {
        return score >= THRESHOLD;
    }
}
