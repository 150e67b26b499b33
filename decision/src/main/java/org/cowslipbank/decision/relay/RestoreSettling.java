package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

/**
 * Decides from when on what the metadata store holds may be taken for the newest state, after the store was restored from
 * a copy. A restored store lacks the last writes until operators and upstreams have written them again; until then it may
 * hold a configuration with keys that have been revoked.
 *
 * <p>A node that was running knows the restore from the era of its readings. A node that starts knows it from a mark in
 * the store: the era for which the store was last found to be complete. Confined to the control thread.
 */
public final class RestoreSettling {
    /**
     * Time after the first reading of a new era by which lost writes have been written again; upstreams are back within
     * about 2 s, as stated by the platform.
     */
    public static final long REWRITE_MILLIS = 2_300;

    private static final long UNKNOWN = -1;

    private long era = UNKNOWN;
    private long rewrittenAtMillis;
    private long settledAtMillis;
    private boolean marked;
    private boolean restored;

    /**
     * Records a complete reading of the store.
     *
     * @param readEra the store's era, zero if it names none
     * @param markedEra the era in the mark, empty without a mark
     * @param nowMillis the time in milliseconds
     * @return true if the store was restored since the last reading, or shortly before the first one
     */
    public boolean onRead(long readEra, OptionalLong markedEra, long nowMillis) {
        marked = markedEra.isPresent() && markedEra.getAsLong() >= readEra;
        if (readEra == era) {
            return false;
        }
        // Without a mark the system starts for the first time.
        restored = era != UNKNOWN || markedEra.isPresent() && !marked;
        era = readEra;
        rewrittenAtMillis = restored ? nowMillis + REWRITE_MILLIS : nowMillis;
        settledAtMillis = rewrittenAtMillis;
        return restored;
    }

    /**
     * Records that operators wrote a configuration that is not older than the one known from before the restore.
     *
     * @param nowMillis the time in milliseconds
     */
    public void onConfigurationWritten(long nowMillis) {
        settledAtMillis = Math.min(settledAtMillis, nowMillis);
    }

    /**
     * Returns whether a reading tells the newest state.
     *
     * @param nowMillis the time in milliseconds
     * @return false while writes that a restore has lost may be missing
     */
    public boolean isSettled(long nowMillis) {
        return nowMillis >= settledAtMillis;
    }

    /**
     * Returns whether the era of the last reading is marked as complete.
     *
     * @return true if the store has the mark
     */
    public boolean isMarked() {
        return marked;
    }

    /**
     * Records that the mark was written, by this node or another one.
     *
     * @param markedEra the era in the mark
     */
    public void onMarked(long markedEra) {
        marked = markedEra >= era;
    }

    /**
     * Returns the era that should be marked as complete.
     *
     * @param nowMillis the time in milliseconds
     * @return the era, or empty if it is marked, or writes may still be missing
     */
    public OptionalLong eraToMark(long nowMillis) {
        boolean due = era != UNKNOWN && !marked && nowMillis >= rewrittenAtMillis;
        return due ? OptionalLong.of(era) : OptionalLong.empty();
    }

    /**
     * Returns whether the store was restored while this node was running, or shortly before. An earlier leader may then
     * be missing in it.
     *
     * @return true if a restore is known
     */
    public boolean isRestored() {
        return restored;
    }
}
