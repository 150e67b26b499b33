package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.relay.PromptShape;

/** Codec of requests and answers between clients, nodes and upstreams. */
public interface RelayCodec {
    /** A request's head is malformed. */
    final class MalformedHeadException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
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
     * @throws MalformedHeadException if the head is malformed
     */
    RelayRequest decodeRequest(String method, String target, Iterable<Map.Entry<String, String>> headers)
            throws MalformedHeadException;

    /**
     * Decodes the description of a prompt, as {@link #decodeRequest} reads it from a request's head.
     *
     * @param model the model's name
     * @param tokenCounts length of the prompt in tokens, optionally followed by a comma and that of the answer
     * @param parts the parts in order, each as {@code id:tokens}, separated by commas
     * @return the prompt
     * @throws MalformedHeadException if a number is malformed
     */
    PromptShape decodePrompt(String model, String tokenCounts, String parts) throws MalformedHeadException;

    /**
     * Returns the headers of a request to an upstream, except the length of its body.
     *
     * @param request the request
     * @param plan how the request is sent
     * @return the headers
     */
    List<Header> encodeRequest(RelayRequest request, SendPlan plan);

    /**
     * Returns the headers of a request to another node that serves it for this one, except the length of its body.
     *
     * @param request the request
     * @param forwarding what this node says about it
     * @param timeoutMillis time that the other node has to answer, in milliseconds
     * @param resumeAfter identifier of the last event that the client has, empty at the beginning
     * @return the headers
     */
    List<Header> encodeForwarded(
            RelayRequest request, Forwarding forwarding, long timeoutMillis, Optional<String> resumeAfter);

    /**
     * Decodes what another node says about a request that it passes on. Must be used on the listener for nodes only.
     *
     * @param headers the header lines as received
     * @return what it says
     * @throws MalformedHeadException if it is missing or malformed
     */
    Forwarding decodeForwarding(Iterable<Map.Entry<String, String>> headers) throws MalformedHeadException;

    /**
     * Returns the header by which a node tells another one about its answer to a request that was passed on.
     *
     * @param answer what it says
     * @return the header
     */
    Header encodeForwardedAnswer(ForwardedAnswer answer);

    /**
     * Decodes an answer's head.
     *
     * @param status the HTTP status
     * @param headers the header lines as received
     * @return the head
     */
    AnswerHead decodeAnswer(int status, Iterable<Map.Entry<String, String>> headers);

    /**
     * Returns the headers of an error answer that the node itself generates.
     *
     * @param requestId the request that it answers, may be empty
     * @param retryAfterMillis time after which the client should retry, in milliseconds; zero to leave the header out
     * @return the headers
     */
    List<Header> encodeRefusal(String requestId, long retryAfterMillis);

    /**
     * Returns whether a target is the platform's readiness check of the node.
     *
     * @param target path and query
     * @return true for the readiness check
     */
    boolean isReadinessCheck(String target);

    /**
     * Decodes an endpoint lookup.
     *
     * @param target path and query
     * @return the client's data centre, empty text if not stated; empty if the target is no endpoint lookup
     */
    Optional<String> decodeLookup(String target);

    /**
     * Encodes the answer to an endpoint lookup.
     *
     * @param addresses the addresses as {@code IP:port}
     * @param ttlSeconds how long the client may cache the answer, in seconds
     * @return the body, JSON
     */
    byte[] encodeLookup(List<String> addresses, long ttlSeconds);
}
