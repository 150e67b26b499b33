package org.cowslipbank.decision.relay;

import java.util.Collection;

import org.cowslipbank.decision.hashing.Rendezvous;

/**
 * The order in which nodes let a part be saved in a store whose epoch has begun a short time ago. All nodes miss the same parts
 * then; with turns the first one saves, and the others hear of it. Each turn has twice as many nodes as the one before, so that
 * a part which the first ones do not need is saved soon all the same.
 */
final class SaveTurns {
    /** Length of a turn. Covers an engine's save, the event about it, and the pause of the calls for events. */
    static final long TURN_MILLIS = 1_000;

    /** Nodes after this turn have the same one, so that no node waits for longer in a large system. */
    private static final int LAST_TURN = 5;

    /** Longest time that a node waits for its turn. */
    static final long MAX_DELAY_MILLIS = LAST_TURN * TURN_MILLIS;

    private final String self;
    private final Collection<String> nodes;

    /**
     * Creates the order of nodes.
     *
     * @param self name of this node
     * @param nodes names of all nodes; this one need not be among them
     */
    SaveTurns(String self, Collection<String> nodes) {
        this.self = self;
        this.nodes = nodes;
    }

    /**
     * Returns when this node's turn begins.
     *
     * @param partId the part's identifier
     * @return the time since the first turn, in milliseconds
     */
    long delayMillis(String partId) {
        long keyHash = Rendezvous.hash(partId);
        long ownWeight = Rendezvous.weight(keyHash, Rendezvous.hash(self));
        long before = nodes.stream()
                .filter(node -> !node.equals(self))
                .filter(node -> Long.compareUnsigned(Rendezvous.weight(keyHash, Rendezvous.hash(node)), ownWeight) > 0)
                .count();
        int turn = Long.SIZE - 1 - Long.numberOfLeadingZeros(before + 1);
        return Math.min(turn, LAST_TURN) * TURN_MILLIS;
    }
}
