package org.cowslipbank.entry.fleet;

import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;

/** Receives fleet events. Called on the control thread, which it must not block. */
public interface FleetListener {
    /**
     * New facts have changed this node's view of the fleet.
     *
     * @param facts the new facts
     */
    default void onFacts(GossipPayload facts) {}

    /**
     * A peer has a higher configuration revision in force than this node. Called for every message of such a peer.
     *
     * @param revision the peer's revision
     * @param peer the peer, from which the revision can be fetched
     */
    default void onNewerRevision(long revision, PeerAddress peer) {}

    /**
     * A peer has acknowledged a probe and reported the configuration revision in force there.
     *
     * @param peer the peer
     * @param digest the peer's own state, its configuration revision included
     */
    default void onAcknowledged(PeerIdentity peer, FleetDigest digest) {}

    /** This node was paused: its leases and snapshots are unconfirmed until {@link #onConfirmed}. */
    default void onConfirmationLost() {}

    /** Peers have answered probes since the start or the last pause: leases and snapshots are confirmed again. */
    default void onConfirmed() {}
}
