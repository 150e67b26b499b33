package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.cowslipbank.model.relay.PromptShape;

/**
 * Head of a client's request; its body is opaque.
 *
 * @param id identifier of this one attempt of the client, empty if it gave none
 * @param method the method
 * @param target path and query as sent
 * @param host the host in lower case, without a port
 * @param bearerKey the client's key
 * @param timeoutMillis how long the client waits, in milliseconds from its sending
 * @param prompt what it says of its prompt
 * @param lastEventId the last event that the client has of a stream that it resumes
 * @param endToEnd the headers to be passed on; those that the system sets itself are left out
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
        List<Header> endToEnd) {
    /** Copies the list. */
    public RelayRequest {
        endToEnd = List.copyOf(endToEnd);
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

    @Override
    public String toString() {
        return "RelayRequest[" + id + " " + method + "]";
    }
}
