package org.cowslipbank.peer;

import reactor.core.publisher.Mono;

/** Sends messages to other nodes and receives theirs. Errors are {@code PeerException} with step and peer. */
public interface PeerTransport {
    /**
     * Starts to listen.
     *
     * @return completes when peers can connect
     */
    Mono<Void> start();

    /**
     * Stops to listen and closes every connection.
     *
     * @return completes when all is closed
     */
    Mono<Void> stop();

    /**
     * Sends a message without waiting for an answer.
     *
     * @param to the receiver
     * @param message the message
     * @return completes when the message has been handed to the connection
     */
    Mono<Void> send(PeerAddress to, PeerMessage message);

    /**
     * Sends a request and waits for its answer.
     *
     * @param to the receiver
     * @param kind what is asked
     * @param body the encoded question
     * @param timeoutMillis longest wait in milliseconds, connecting included
     * @return the encoded answer; the error's run state is "not run" if the request was not sent, "unknown" if no
     *     answer came, else what the peer said
     */
    Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis);

    /**
     * Registers the handler of messages. Must be called before {@link #start()}.
     *
     * @param handler the handler
     */
    void onMessage(MessageHandler handler);

    /**
     * Registers the handler of one kind of request. Must be called before {@link #start()}.
     *
     * @param kind the kind
     * @param handler the handler
     */
    void onRequest(RequestKind kind, RequestHandler handler);

    /**
     * Retires the connections to a peer, so that the next message goes over a new one. Requests in flight may still be
     * answered on the old one. Used when a peer does not answer on an open connection.
     *
     * @param to the peer
     */
    void reset(PeerAddress to);
}
