package org.cowslipbank.peer;

/** Takes messages of peers. Must not block the calling thread. */
@FunctionalInterface
public interface MessageHandler {
    /**
     * Takes a message.
     *
     * @param from the authenticated peer
     * @param message the message; never a request, reply or heartbeat, which the transport handles itself
     */
    void handle(PeerIdentity from, PeerMessage message);
}
