package org.cowslipbank.bench.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.directory.SessionHint;

/**
 * Bounded log of hint updates for peers that missed some. A peer that is further behind needs a snapshot. Based on
 * Castro-Company et al., "CLOB: Communication Support for Efficient Replicated Database Recovery", section 4.3.
 */
final class UpdateLog {
    private final Deque<SessionHint> updates = new ArrayDeque<>();
    private final int maxUpdates;
    private long nextSequence;

    /**
     * Creates an empty log.
     *
     * @param maxUpdates number of updates that the log keeps
     */
    UpdateLog(int maxUpdates) {
        this.maxUpdates = maxUpdates;
    }

    /**
     * Appends an update and drops the oldest one if the log is full.
     *
     * @param update the changed hint
     * @return its sequence number
     */
    long append(SessionHint update) {
        updates.addLast(update);
        if (updates.size() > maxUpdates) {
            updates.removeFirst();
        }
        return nextSequence++;
    }

    /**
     * Returns the updates from a sequence number on.
     *
     * @param sequence first sequence number that the peer has not received
     * @return the updates in order, or empty if the log no longer holds all of them and the peer needs a snapshot
     */
    Optional<List<SessionHint>> since(long sequence) {
        long firstSequence = nextSequence - updates.size();
        if (sequence < firstSequence || sequence > nextSequence) {
            return Optional.empty();
        }
        return Optional.of(new ArrayList<>(updates).subList((int) (sequence - firstSequence), updates.size()));
    }
}
