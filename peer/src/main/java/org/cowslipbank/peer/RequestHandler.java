package org.cowslipbank.peer;

import reactor.core.publisher.Mono;

/** Answers requests of peers. Must not block the calling thread. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Answers a request.
     *
     * @param from the authenticated peer
     * @param body the encoded question
     * @return the encoded answer; a {@code CowslipbankException} reaches the peer with its run state, any other error
     *     with an unknown one
     */
    Mono<byte[]> handle(PeerIdentity from, byte[] body);
}
