package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.Facts;

/** What the shell does after a step. */
public sealed interface FleetEffect {
    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param packet the message
     */
    record Send(NodeAddress to, Packet packet) implements FleetEffect {}

    /**
     * Closes open connections to a node that did not answer, since a connection can go silent while new ones work.
     *
     * @param to the node
     */
    record ResetConnection(NodeAddress to) implements FleetEffect {}

    /**
     * Facts that changed this node's view, for listeners.
     *
     * @param facts the facts
     */
    record Learned(Facts facts) implements FleetEffect {}

    /**
     * A peer has a higher configuration revision in force, so this node can fetch it there.
     *
     * @param revision the peer's revision
     * @param from the peer
     */
    record RevisionBehind(long revision, NodeAddress from) implements FleetEffect {}

    /** The node was paused or has started: leases and snapshots count as unconfirmed until probes are answered. */
    record AuthorityLost() implements FleetEffect {}

    /** Probes have been answered since the pause. */
    record AuthorityConfirmed() implements FleetEffect {}
}
