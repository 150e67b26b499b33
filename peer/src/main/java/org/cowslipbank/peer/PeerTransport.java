package org.cowslipbank.peer;

import reactor.core.publisher.Mono;

/** Sends messages to other nodes and receives theirs. Errors are {@code PeerException}s that name step and peer. */
public interface PeerTransport {
    /**
     * Starts listening.
     *
     * @return completes when peers can connect
     */
    Mono<Void> start();

    /**
     * Stops listening and closes every connection.
     *
     * @return completes when the listener is closed and all connections are closing
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
     * Sends a request and waits for its reply.
     *
     * @param to the receiver
     * @param kind the kind of request
     * @param body the encoded request
     * @param timeoutMillis maximum wait in milliseconds, including the time to connect
     * @return the encoded reply; the run state of an error is "not run" if the request was not sent, "unknown" if no
     *     reply arrived, otherwise the one that the peer reported
     */
    Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis);

    /**
     * Registers the handler for messages. Must be called before {@link #start()}.
     *
     * @param handler the handler
     */
    void onMessage(MessageHandler handler);

    /**
     * Registers the handler for one kind of request. Must be called before {@link #start()}.
     *
     * @param kind the kind
     * @param handler the handler
     */
    void onRequest(RequestKind kind, RequestHandler handler);

    /**
     * Retires all connections to a peer, so that the next message uses a new one. Pending requests may still be answered
     * on the old ones. For a peer that does not answer on an open connection.
     *
     * @param to the peer
     */
    void retireConnections(PeerAddress to);
}
