package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The formats of requests and answers between clients, nodes and upstreams. */
public interface RelayWire {
    /** A request's head cannot be used. */
    final class MalformedHeadException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates an error.
         *
         * @param message what is wrong
         */
        public MalformedHeadException(String message) {
            super(message);
        }
    }

    /**
     * Decodes a request's head.
     *
     * @param method the method
     * @param target path and query
     * @param headers the header lines as received
     * @return the head
     * @throws MalformedHeadException if it cannot be used
     */
    RelayRequest decodeRequest(String method, String target, Iterable<Map.Entry<String, String>> headers)
            throws MalformedHeadException;

    /**
     * Lists the headers with which a request is sent to an upstream, but for the length of its body.
     *
     * @param request the request
     * @param plan how it is sent
     * @return the headers
     */
    List<Header> encodeRequest(RelayRequest request, SendPlan plan);

    /**
     * Decodes an answer's head.
     *
     * @param status the HTTP status
     * @param headers the header lines as received
     * @return the head
     */
    AnswerHead decodeAnswer(int status, Iterable<Map.Entry<String, String>> headers);

    /**
     * Returns the headers of an answer that the node gives itself.
     *
     * @param requestId the request that it answers, may be empty
     * @param retryAfterMillis when the client should come back, in milliseconds; zero to say nothing
     * @return the headers
     */
    List<Header> encodeRefusal(String requestId, long retryAfterMillis);

    /**
     * Tells whether a target asks for the readiness of the node.
     *
     * @param target path and query
     * @return true if it does
     */
    boolean isReadinessCheck(String target);

    /**
     * Decodes an address lookup.
     *
     * @param target path and query
     * @return the client's data centre, empty text if it named none; empty if it is no lookup
     */
    Optional<String> decodeLookup(String target);

    /**
     * Encodes the answer to an address lookup.
     *
     * @param addresses the addresses as {@code IP:port}
     * @param ttlSeconds how long the answer may be kept, in seconds
     * @return the body, JSON
     */
    byte[] encodeLookup(List<String> addresses, long ttlSeconds);
}
