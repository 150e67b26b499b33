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
 * Changes of one cache store as this node passes them on to others. It counts them with numbers of its own, so a reader
 * that comes from another node, or too late, gets all parts anew.
 */
final class CacheLog {
    /** Changes that are kept; a store has some hundred a second at most. */
    static final int MAX_CHANGES = 2_000;

    private record Numbered(long number, CacheChange change) {}

    private final Deque<Numbered> changes = new ArrayDeque<>();
    private final Map<CachedPart, CacheChange> held = new LinkedHashMap<>();
    private final long firstNumber;
    private long number;
    private long epoch;

    /**
     * Creates a log.
     *
     * @param firstNumber where its numbers begin; differs from that of other nodes and of earlier starts
     */
    CacheLog(long firstNumber) {
        this.firstNumber = firstNumber;
        this.number = firstNumber;
    }

    /** Forgets everything: the store began a new lifetime, or some of its changes were lost. */
    void reset(long storeEpoch) {
        epoch = storeEpoch;
        changes.clear();
        held.clear();
        number++;
    }

    void add(CacheChange change) {
        number++;
        changes.addLast(new Numbered(number, change));
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
        CachedPart part = new CachedPart(change.scope(), change.partId());
        if (change.added()) {
            held.put(part, change);
        } else {
            held.remove(part);
        }
    }

    boolean hasChangesSince(long since) {
        return since != number;
    }

    /**
     * Returns what a reader has to know.
     *
     * @param since the number that its last answer named, zero at first
     * @param clockMillis the upstreams' clock in milliseconds
     * @return the changes, or all parts if the reader's number is not one of this log's last ones
     */
    CacheChanges since(long since, OptionalLong clockMillis) {
        long oldest = number - changes.size();
        boolean known = since > firstNumber && since >= oldest && since <= number;
        List<CacheChange> told = known
                ? changes.stream()
                        .filter(numbered -> numbered.number() > since)
                        .map(Numbered::change)
                        .toList()
                : new ArrayList<>(held.values());
        return new CacheChanges(epoch, number, !known, clockMillis, told);
    }
}
