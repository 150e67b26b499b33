package org.cowslipbank.entry.relay;

import io.netty.buffer.ByteBuf;
import org.cowslipbank.ports.relay.AnswerHead;

/** Receives the answer of an upstream, on the traffic thread. Nothing follows after the end or a failure. */
interface UpstreamListener {
    /** How a request failed at its connection. */
    enum Failure {
        /** No connection was opened, so the request was not sent. */
        UNREACHABLE,
        /** The connection broke after the request was sent. */
        BROKEN,
        /** What came is no answer to this request. */
        MALFORMED
    }

    /** Some bytes of the answer have come. */
    void onHeard();

    /**
     * The answer's head has come.
     *
     * @param head the head
     */
    void onHead(AnswerHead head);

    /**
     * Bytes of the body have come.
     *
     * @param bytes the bytes; released by the caller
     */
    void onBody(ByteBuf bytes);

    /** The answer is complete. */
    void onEnd();

    /**
     * The request failed.
     *
     * @param failure how
     * @param message what was seen
     */
    void onFailure(Failure failure, String message);
}
