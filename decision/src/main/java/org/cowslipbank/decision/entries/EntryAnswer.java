package org.cowslipbank.decision.entries;

import java.util.List;

import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Answer to an address lookup.
 *
 * @param nodes the nodes in the order in which a caller tries them
 * @param validMillis how long a caller may keep the answer, in milliseconds
 * @param validUntilMillis the same as a time on the answering node's clock
 */
public record EntryAnswer(List<NodeAddress> nodes, long validMillis, long validUntilMillis) {
    /** Copies the nodes. */
    public EntryAnswer {
        nodes = List.copyOf(nodes);
    }
}
