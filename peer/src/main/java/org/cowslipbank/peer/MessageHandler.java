package org.cowslipbank.peer;

/** Handles messages from peers. Must not block the calling thread, which may be a connection's event loop. */
@FunctionalInterface
public interface MessageHandler {
    /**
     * Handles a message.
     *
     * @param from the authenticated peer
     * @param message the message; never a request, reply or heartbeat, which the transport handles itself
     */
    void handle(PeerIdentity from, PeerMessage message);
}
