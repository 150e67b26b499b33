package org.cowslipbank.entry.relay;

import java.util.Optional;

import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.Header;

/** Where one attempt of an exchange sends the request. Used on the traffic thread. */
interface AttemptTarget {
    /**
     * Returns the upstream.
     *
     * @return the upstream, or empty if the target is another node
     */
    Optional<UpstreamServer> upstream();

    /**
     * Returns the connections to targets of this kind.
     *
     * @return the connections
     */
    UpstreamConnectionPool connections();

    /**
     * Returns the address of the target.
     *
     * @return the address as {@code IP:port}
     */
    String address();

    /** Called before a connection is taken or opened. */
    void onStarted();

    /**
     * Returns why the request must not be sent, as known once the connection is open.
     *
     * @return the reason for the log, or empty if it may be sent
     */
    Optional<String> heldBack();

    /**
     * Returns the headers of the request.
     *
     * @param leftMillis time until the request's deadline, in milliseconds
     * @param resumeAfter identifier of the last event that the client has, empty at the beginning
     * @return the headers, without the length of the body
     */
    Iterable<Header> encode(long leftMillis, Optional<String> resumeAfter);

    /**
     * Returns whether the target gives no sign of life although an answer is due.
     *
     * @return true if the request should be moved away
     */
    boolean isSilent();

    /**
     * Returns whether a request that has not begun there must not begin any more.
     *
     * @return true if an engine's weights are too old
     */
    boolean isTooOldToBegin();

    /** Called for every message received. */
    void onBytesReceived();

    /**
     * Called with the head of the answer.
     *
     * @param head the head
     * @param sentMillis when the request was sent, in milliseconds
     */
    void onHead(AnswerHead head, long sentMillis);

    /**
     * Called when the target has stated that it did not run the request.
     *
     * @param head the head of the answer
     */
    void onRejected(AnswerHead head);

    /**
     * Returns whether a break of the answer means that the request must not be sent again.
     *
     * @return true if the target has used up the attempts
     */
    boolean breakIsFinal();

    /** Called with the first bytes of the answer's body, or at the end of the attempt. */
    void onPromptRead();

    /**
     * Called when the attempt has ended.
     *
     * @param outcome how it ended
     */
    void onEnded(Outcome outcome);

    /**
     * Returns the software version of the upstream that answers.
     *
     * @return the version, or empty if it is not known
     */
    Optional<String> softwareVersion();

    /**
     * Adds what identifies the target to a log line.
     *
     * @param line the line
     */
    void describe(LogFields line);
}
