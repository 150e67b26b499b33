package org.cowslipbank.decision.membership;

import java.util.Optional;

/**
 * A probe that has not been answered yet.
 *
 * @param purpose why it was sent
 * @param target the probed node
 * @param sentMillis when it was sent
 * @param helpers number of helpers asked to probe the target, -1 before they are asked
 * @param failedHelpers number of helpers that reported no answer
 * @param requester the node that requested this indirect probe, empty for other probes
 * @param requesterSequence sequence number of that request, zero for other probes
 */
record PendingProbe(
        Purpose purpose,
        NodeAddress target,
        long sentMillis,
        int helpers,
        int failedHelpers,
        Optional<NodeAddress> requester,
        long requesterSequence) {
    /** Why a probe was sent. */
    enum Purpose {
        /** To check a node of the local data centre. */
        DIRECT,
        /** Indirect probe on behalf of another node. */
        RELAY,
        /** To check whether another data centre is reachable. */
        CROSS_DATA_CENTRE,
        /** To detect that a dead node answers again; also sent to live nodes after a pause. */
        DEAD_NODE
    }

    static PendingProbe of(Purpose purpose, NodeAddress target, long sentMillis) {
        return new PendingProbe(purpose, target, sentMillis, -1, 0, Optional.empty(), 0);
    }

    static PendingProbe relay(NodeAddress target, long sentMillis, NodeAddress requester, long requesterSequence) {
        return new PendingProbe(Purpose.RELAY, target, sentMillis, -1, 0, Optional.of(requester), requesterSequence);
    }

    PendingProbe withHelpers(int count) {
        return new PendingProbe(purpose, target, sentMillis, count, failedHelpers, requester, requesterSequence);
    }

    PendingProbe withFailedHelper() {
        return new PendingProbe(purpose, target, sentMillis, helpers, failedHelpers + 1, requester, requesterSequence);
    }
}
