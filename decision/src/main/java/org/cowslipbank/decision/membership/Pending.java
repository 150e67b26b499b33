package org.cowslipbank.decision.membership;

import java.util.Optional;

/**
 * A probe that has not been answered.
 *
 * @param purpose why it was sent
 * @param target the probed node
 * @param sentMillis when it was sent
 * @param helpers number of helpers asked, negative before they are asked
 * @param refusals number of helpers that got no answer either
 * @param requester the node on whose behalf the probe was sent
 * @param requesterSequence the requester's number
 */
record Pending(
        Purpose purpose,
        NodeAddress target,
        long sentMillis,
        int helpers,
        int refusals,
        Optional<NodeAddress> requester,
        long requesterSequence) {
    /** Why a probe was sent. */
    enum Purpose {
        /** To judge a node of the own data centre. */
        DIRECT,
        /** On behalf of another node. */
        RELAY,
        /** To judge whether another data centre is reachable. */
        CROSS,
        /** To find out whether a dead node answers again. */
        DEAD
    }

    static Pending of(Purpose purpose, NodeAddress target, long sentMillis) {
        return new Pending(purpose, target, sentMillis, -1, 0, Optional.empty(), 0);
    }

    static Pending relay(NodeAddress target, long sentMillis, NodeAddress requester, long requesterSequence) {
        return new Pending(Purpose.RELAY, target, sentMillis, -1, 0, Optional.of(requester), requesterSequence);
    }

    Pending withHelpers(int count) {
        return new Pending(purpose, target, sentMillis, count, refusals, requester, requesterSequence);
    }

    Pending withRefusal() {
        return new Pending(purpose, target, sentMillis, helpers, refusals + 1, requester, requesterSequence);
    }
}
