package org.cowslipbank.entry.relay;

import io.netty.buffer.ByteBuf;
import org.cowslipbank.ports.relay.AnswerHead;

/** Receives an upstream's answer on the traffic thread. No call follows {@link #onEnd} or {@link #onFailure}. */
interface UpstreamListener {
    /** Why a request failed at the connection level. */
    enum Failure {
        /** The connection could not be opened, so the request was not sent. */
        UNREACHABLE,
        /** The connection broke after the request was sent. */
        BROKEN,
        /** The received bytes are not an answer to this request. */
        MALFORMED
    }

    /** Called for every received message, before the callbacks for its content. */
    void onBytesReceived();

    /**
     * Called with the status and headers of the final answer.
     *
     * @param head the head
     */
    void onHead(AnswerHead head);

    /**
     * Called with a piece of the body.
     *
     * @param bytes the piece; released by the caller after this call
     */
    void onBody(ByteBuf bytes);

    /** Called when the answer is complete. */
    void onEnd();

    /**
     * Called when the request has failed.
     *
     * @param failure the kind of failure
     * @param message a description for the log
     */
    void onFailure(Failure failure, String message);
}
