package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.cowslipbank.model.relay.UpstreamNotice;

/**
 * Status and headers of an upstream's answer.
 *
 * @param status the HTTP status
 * @param requestId the request that it answers, empty if not stated
 * @param notExecuted true if the upstream states that it did not run the request
 * @param hasSignature true if it carries the upstream's signature for the run
 * @param serverId the upstream incarnation that answered, empty if not stated
 * @param weightVersion the weight version of the model that answered
 * @param closesConnection true if the upstream closes the connection after this answer
 * @param idleTimeoutMillis how long the upstream keeps an idle connection, in milliseconds
 * @param contentEncoded true if the body has a content encoding and so is not what the upstream itself wrote
 * @param contentBytes length of the body in bytes, if stated
 * @param eventStream false if the body is stated to be something else than a stream of events
 * @param notice what the upstream says of itself
 * @param forwarded what the node says that served the request for this one, empty if an upstream answered directly
 * @param endToEndHeaders the end-to-end headers, to be forwarded to the client
 */
public record AnswerHead(
        int status,
        String requestId,
        boolean notExecuted,
        boolean hasSignature,
        String serverId,
        OptionalLong weightVersion,
        boolean closesConnection,
        OptionalLong idleTimeoutMillis,
        boolean contentEncoded,
        OptionalLong contentBytes,
        boolean eventStream,
        UpstreamNotice notice,
        Optional<ForwardedAnswer> forwarded,
        List<Header> endToEndHeaders) {
    private static final int OK = 200;

    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public AnswerHead {
        endToEndHeaders = List.copyOf(endToEndHeaders);
    }

    /**
     * Returns whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns whether the answer can continue a stream.
     *
     * @return false for errors and for bodies without events
     */
    public boolean hasEvents() {
        return status == OK && eventStream;
    }
}
