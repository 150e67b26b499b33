package org.cowslipbank.entry.fleet;

import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;

/** Takes notice of changes in the fleet. Called on the control thread; must not block it. */
public interface FleetListener {
    /**
     * Facts have changed this node's view.
     *
     * @param facts the facts
     */
    default void onFacts(Facts facts) {}

    /**
     * A peer has a higher configuration revision in force. Repeated with every message of such a peer.
     *
     * @param revision the peer's revision
     * @param peer where the revision can be fetched
     */
    default void onRevisionBehind(long revision, PeerAddress peer) {}

    /**
     * A peer has acknowledged a probe, with the configuration revision in force there.
     *
     * @param peer the peer
     * @param digest what it says about itself
     */
    default void onAcknowledged(PeerIdentity peer, FleetDigest digest) {}

    /** The node was paused: leases and snapshots count as unconfirmed. */
    default void onAuthorityLost() {}

    /** Probes have been answered since the pause or the start. */
    default void onAuthorityConfirmed() {}
}
