package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Data centres whose upstreams get no requests, because operators have asked for their evacuation.
 *
 * <p>The request is an item of the metadata store for each data centre, and its removal ends the evacuation. Begin and end
 * are ordered by revision, so one that is read late changes nothing. A store that was restored from a copy may lack the
 * item of an evacuation that goes on: what was known before stays in effect until operators must have written it again.
 * Confined to the control thread.
 */
public final class Evacuations {
    /**
     * Time for which the end of an evacuation is remembered, in milliseconds. Its upstreams may be cold for some seconds
     * after it, and a begin that is read late belongs to the time before.
     */
    static final long ENDED_KEPT_MILLIS = 60_000;

    private static final long UNLIMITED = Long.MAX_VALUE;

    private final Map<String, Evacuation> byDataCentre = new HashMap<>();
    private final Set<String> unseen = new HashSet<>();

    /**
     * The end of an evacuation.
     *
     * @param dataCentre the data centre
     * @param revision revision of the metadata store at the end; what is written later has a larger one
     * @param atMillis when this node learned of it, in milliseconds
     */
    public record Ended(String dataCentre, long revision, long atMillis) {}

    /** The last change known of one data centre. */
    private static final class Evacuation {
        private boolean inEffect;
        private long revision;
        private long changedMillis;
        /** Revision of the last change, as the store had it when this node learned of it. */
        private long changedRevision;
        /** When an evacuation that a restored store lacks is given up. */
        private long keptUntilMillis = UNLIMITED;
    }

    /**
     * Records that an evacuation was requested, or still is.
     *
     * @param dataCentre the data centre
     * @param revision revision of the request
     * @param nowMillis the time in milliseconds
     * @return true if it begins, as far as this node knows
     */
    public boolean onRequested(String dataCentre, long revision, long nowMillis) {
        unseen.remove(dataCentre);
        Evacuation known = byDataCentre.computeIfAbsent(dataCentre, key -> new Evacuation());
        if (revision < known.revision) {
            return false;
        }
        known.keptUntilMillis = UNLIMITED;
        return change(known, true, revision, nowMillis);
    }

    /**
     * Records that the request was removed.
     *
     * @param dataCentre the data centre
     * @param revision revision of the removal
     * @param nowMillis the time in milliseconds
     * @return true if an evacuation ends, as far as this node knows
     */
    public boolean onRemoved(String dataCentre, long revision, long nowMillis) {
        Evacuation known = byDataCentre.computeIfAbsent(dataCentre, key -> new Evacuation());
        return revision >= known.revision && change(known, false, revision, nowMillis);
    }

    private static boolean change(Evacuation known, boolean inEffect, long revision, long nowMillis) {
        boolean changed = known.inEffect != inEffect;
        known.inEffect = inEffect;
        known.revision = revision;
        if (changed) {
            known.changedMillis = nowMillis;
            known.changedRevision = revision;
        }
        return changed;
    }

    /**
     * Called before the items of a complete reading of the store are applied.
     *
     * @param writesLost true if the store may lack writes that were acknowledged, because it was restored from a copy
     * @param nowMillis the time in milliseconds
     */
    public void onReadingBegun(boolean writesLost, long nowMillis) {
        unseen.clear();
        byDataCentre.forEach((dataCentre, known) -> {
            if (known.inEffect) {
                unseen.add(dataCentre);
            }
            if (writesLost) {
                // Without an era in the revisions, later writes have smaller ones than before the restore.
                known.revision = 0;
                known.keptUntilMillis = nowMillis + RestoreSettling.REWRITE_MILLIS;
            }
        });
    }

    /**
     * Called after all items of a complete reading were applied; evacuations without a request have ended.
     *
     * @param atRevision the revision of the reading
     * @param nowMillis the time in milliseconds
     * @return the data centres whose evacuation ends
     */
    public List<String> onReadingEnded(long atRevision, long nowMillis) {
        List<String> ended = new ArrayList<>();
        for (String dataCentre : unseen) {
            Evacuation known = byDataCentre.get(dataCentre);
            if (known.keptUntilMillis == UNLIMITED && onRemoved(dataCentre, atRevision, nowMillis)) {
                ended.add(dataCentre);
            }
        }
        unseen.clear();
        return ended;
    }

    /**
     * Ends evacuations that a restored store lacks and that were not requested again, and forgets those that ended long
     * ago.
     *
     * @param atRevision revision up to which changes are applied
     * @param nowMillis the time in milliseconds
     * @return the data centres whose evacuation ends
     */
    public List<String> dropExpired(long atRevision, long nowMillis) {
        if (byDataCentre.isEmpty()) {
            return List.of();
        }
        byDataCentre
                .values()
                .removeIf(known -> !known.inEffect && nowMillis - known.changedMillis >= ENDED_KEPT_MILLIS);
        List<String> ended = new ArrayList<>();
        byDataCentre.forEach((dataCentre, known) -> {
            if (known.inEffect && nowMillis >= known.keptUntilMillis) {
                change(known, false, atRevision, nowMillis);
                ended.add(dataCentre);
            }
        });
        return ended;
    }

    /**
     * Returns the data centres whose upstreams must get no requests.
     *
     * @return their names
     */
    public Set<String> dataCentres() {
        Set<String> inEffect = new HashSet<>();
        byDataCentre.forEach((dataCentre, known) -> {
            if (known.inEffect) {
                inEffect.add(dataCentre);
            }
        });
        return inEffect;
    }

    /**
     * Returns the evacuations that have ended in the last minute.
     *
     * @return the last end for each data centre that is not evacuated now
     */
    public List<Ended> recentlyEnded() {
        return byDataCentre.entrySet().stream()
                .filter(entry -> !entry.getValue().inEffect && entry.getValue().changedMillis != 0)
                .map(entry ->
                        new Ended(entry.getKey(), entry.getValue().changedRevision, entry.getValue().changedMillis))
                .toList();
    }
}
