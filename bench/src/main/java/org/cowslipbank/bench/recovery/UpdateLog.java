package org.cowslipbank.bench.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.directory.SessionHint;

/**
 * Bounded log of hint updates for a peer that missed some. Beyond the bound the peer needs a snapshot. After
 * Castro-Company et al., "CLOB: Communication Support for Efficient Replicated Database Recovery", section 4.3.
 */
final class UpdateLog {
    private final Deque<SessionHint> updates = new ArrayDeque<>();
    private final int maxUpdates;
    private long nextSequence;

    /**
     * Creates an empty log.
     *
     * @param maxUpdates the most updates kept
     */
    UpdateLog(int maxUpdates) {
        this.maxUpdates = maxUpdates;
    }

    /**
     * Appends an update.
     *
     * @param update the update
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
     * Returns the updates that a peer has missed.
     *
     * @param sequence first sequence number that it has not seen
     * @return the updates in order, or empty if some are gone and a snapshot is needed
     */
    Optional<List<SessionHint>> since(long sequence) {
        long first = nextSequence - updates.size();
        if (sequence < first || sequence > nextSequence) {
            return Optional.empty();
        }
        return Optional.of(new ArrayList<>(updates).subList((int) (sequence - first), updates.size()));
    }
}
