package org.cowslipbank.peer;

import reactor.core.publisher.Mono;

/** Handles requests from peers. Must not block the calling thread, which may be a connection's event loop. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a request.
     *
     * @param from the authenticated peer
     * @param body the encoded request
     * @return the encoded reply; a {@code CowslipbankException} is reported to the peer with its run state, any other
     *     error with run state "unknown"
     */
    Mono<byte[]> handle(PeerIdentity from, byte[] body);
}
