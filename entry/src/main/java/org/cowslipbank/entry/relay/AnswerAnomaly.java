package org.cowslipbank.entry.relay;

import java.util.Optional;

import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.AnswerHead;

/**
 * Something unusual that a connection to an upstream, or to another node, has received.
 *
 * @param kind what it is
 * @param address the target as {@code IP:port}
 * @param connection number of the connection since the start of the node, per kind of target
 * @param requests requests sent on the connection so far
 * @param requestId the request in progress, or the last one
 * @param head the head that was received, empty if there is none or it is malformed
 * @param framing how the end of that answer is marked
 * @param bodyBytes bytes of its body received so far
 * @param ending how the connection or the answer has ended so far
 */
record AnswerAnomaly(
        Kind kind,
        String address,
        long connection,
        int requests,
        String requestId,
        Optional<AnswerHead> head,
        Framing framing,
        long bodyBytes,
        Ending ending) {
    /** What is unusual. */
    enum Kind {
        /** An answer to another request; it is skipped. */
        SECOND_ANSWER("answer to another request skipped"),
        /** Bytes while no request is in progress; the connection is closed. */
        STRAY_BYTES("bytes from an upstream without a request"),
        /** An answer that ended after its head and before its end. */
        BROKEN_OFF("answer broken off"),
        /** A head that is no answer to the request. */
        MALFORMED_HEAD("malformed answer");

        private final String event;

        Kind(String event) {
            this.event = event;
        }
    }

    /** How the end of an answer is marked. */
    enum Framing {
        UNKNOWN,
        LENGTH,
        CHUNKS,
        UNTIL_CLOSE
    }

    /** How an answer or its connection ended. */
    enum Ending {
        /** It has not ended. */
        OPEN,
        CLOSED,
        RESET,
        MALFORMED
    }

    /**
     * Describes the anomaly for the log.
     *
     * @return the log line
     */
    LogFields describe() {
        LogFields line = LogFields.event(kind.event)
                .peer(address)
                .field("request", requestId)
                .field("connection", connection)
                .field("connectionRequests", requests)
                .field("framing", framing)
                .field("bodyBytes", bodyBytes)
                .field("ending", ending);
        head.ifPresent(answer -> line.field("status", answer.status())
                .field("answerTo", answer.requestId())
                .field("sameRequest", answer.requestId().equals(requestId)));
        return line;
    }
}
