package org.cowslipbank.entry.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;

/**
 * Recent changes of one cache store, kept by a hub for the members of its group. Each hub numbers them itself; a reader
 * with a number of another hub, or one that is too old, gets all parts again.
 */
final class CacheChangeLog {
    /** Changes kept; a store has a few hundred per second at most. */
    static final int MAX_CHANGES = 2_000;

    private record NumberedChange(long number, CacheChange change) {}

    private final Deque<NumberedChange> changes = new ArrayDeque<>();
    private final Map<CachedPart, CacheChange> currentParts = new LinkedHashMap<>();
    private final long firstNumber;
    private long lastNumber;
    private long epoch;

    /**
     * Creates an empty log.
     *
     * @param firstNumber start of its numbers; must differ between nodes and between starts of a node
     */
    CacheChangeLog(long firstNumber) {
        this.firstNumber = firstNumber;
        this.lastNumber = firstNumber;
    }

    /** Clears the log after the store has restarted or some of its changes were lost. */
    void reset(long storeEpoch) {
        epoch = storeEpoch;
        changes.clear();
        currentParts.clear();
        lastNumber++;
    }

    void add(CacheChange change) {
        lastNumber++;
        changes.addLast(new NumberedChange(lastNumber, change));
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
        CachedPart part = new CachedPart(change.scope(), change.partId());
        if (change.added()) {
            currentParts.put(part, change);
        } else {
            currentParts.remove(part);
        }
    }

    boolean hasChangesSince(long since) {
        return since != lastNumber;
    }

    /**
     * Returns the changes that a reader has not seen.
     *
     * @param since the number in the reader's last answer, zero at first
     * @param clockMillis the upstreams' clock in milliseconds
     * @return the changes, or all parts marked as lost if the log does not reach back to the reader's number
     */
    CacheChanges since(long since, OptionalLong clockMillis) {
        long oldest = lastNumber - changes.size();
        boolean known = since > firstNumber && since >= oldest && since <= lastNumber;
        List<CacheChange> result = known
                ? changes.stream()
                        .filter(numbered -> numbered.number() > since)
                        .map(NumberedChange::change)
                        .toList()
                : new ArrayList<>(currentParts.values());
        return new CacheChanges(epoch, lastNumber, !known, clockMillis, result);
    }
}
