package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.ports.relay.ForwardedAnswer;
import org.cowslipbank.ports.relay.Forwarding;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayCodec;

/**
 * Headers of the answers to one request.
 *
 * @param codec encoding of the platform's headers
 * @param forwarding what the node says that has passed the request on, empty if a client sent it
 */
record AnswerHeaders(RelayCodec codec, Optional<Forwarding> forwarding) {
    /**
     * Returns the headers of an answer that this node gives itself.
     *
     * @param requestId identifier of the request
     * @param retryAfterMillis delay in milliseconds after which the client may come again, zero for none
     * @param about what a node that has passed the request on must know about the answer
     * @return the headers, without the length of the body
     */
    List<Header> ofRefusal(String requestId, long retryAfterMillis, ForwardedAnswer about) {
        return withAbout(codec.encodeRefusal(requestId, retryAfterMillis), about);
    }

    /**
     * Adds what a node that has passed the request on must know about the answer.
     *
     * @param headers headers of the answer
     * @param about what that node must know
     * @return the same headers if a client sent the request
     */
    List<Header> withAbout(List<Header> headers, ForwardedAnswer about) {
        if (forwarding.isEmpty()) {
            return headers;
        }
        List<Header> all = new ArrayList<>(headers);
        all.add(codec.encodeForwardedAnswer(about));
        return all;
    }
}
