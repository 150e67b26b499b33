package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.cowslipbank.model.relay.PromptShape;

/**
 * Head of a client's request. The body is opaque to the node.
 *
 * @param id identifier that the client gave this attempt, empty if none
 * @param method the HTTP method
 * @param target path and query as sent
 * @param host the host in lower case, without a port
 * @param bearerKey the client's key
 * @param timeoutMillis how long the client waits, in milliseconds from when it sent the request
 * @param prompt size and parts of the prompt, if the request has one
 * @param lastEventId identifier of the last event received, if the client resumes a stream
 * @param resumes identifier of the client's request that brought the first event of the stream that this one takes up
 * @param endToEndHeaders the end-to-end headers, to be forwarded to the upstream, without those that the node sets itself
 */
public record RelayRequest(
        String id,
        String method,
        String target,
        String host,
        Optional<String> bearerKey,
        OptionalLong timeoutMillis,
        Optional<PromptShape> prompt,
        Optional<String> lastEventId,
        Optional<String> resumes,
        List<Header> endToEndHeaders) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public RelayRequest {
        endToEndHeaders = List.copyOf(endToEndHeaders);
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns whether the client takes up a stream of which it already has events.
     *
     * @return false for a new request
     */
    public boolean takesUpStream() {
        return lastEventId.isPresent() || resumes.isPresent();
    }

    @Override
    public String toString() {
        return "RelayRequest[" + id + " " + method + "]";
    }
}
