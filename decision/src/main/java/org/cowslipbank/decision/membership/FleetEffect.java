package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.GossipPayload;

/** An action that a step requests; the caller of the state machine carries it out. */
public sealed interface FleetEffect {
    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param packet the message
     */
    record Send(NodeAddress to, Packet packet) implements FleetEffect {}

    /**
     * Closes open connections to a node that did not answer, since an open connection can fail silently while new ones
     * work.
     *
     * @param to the node
     */
    record ResetConnection(NodeAddress to) implements FleetEffect {}

    /**
     * Notifies listeners of facts that changed this node's view.
     *
     * @param facts the facts
     */
    record FactsChanged(GossipPayload facts) implements FleetEffect {}

    /**
     * A peer has applied a newer configuration revision, which this node can fetch from it.
     *
     * @param revision the peer's revision
     * @param from the peer
     */
    record NewerRevisionFound(long revision, NodeAddress from) implements FleetEffect {}

    /** The node was paused: its leases and snapshots count as unconfirmed until a probe is answered. */
    record ConfirmationLost() implements FleetEffect {}

    /** A probe was answered since the start or the last pause, so leases and snapshots may be used again. */
    record Confirmed() implements FleetEffect {}
}
