package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.concurrent.Future;

import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.AnswerHead;

/** State of one send of a request to one target, from the choice of the target to its end. Used on the traffic thread. */
abstract class RunningAttempt implements UpstreamListener {
    /** Time from an answer's first event after which the request is no longer suspected of crashing the upstream. */
    static final long ESTABLISHED_ANSWER_MILLIS = 1_000;

    final AttemptTarget target;
    final SendingBody requestBody;
    final CountedBody bufferedBody;
    /** The connection, null until the request is sent. */
    UpstreamConnection connection;
    /** The head of the answer, null before it. */
    AnswerHead head;

    boolean sent;
    long sentMillis;
    boolean settled;
    boolean streaming;
    long answerBeganMillis = -1;
    Future<?> checkTimer;
    Optional<ProcessChecks.Pending> endCheck = Optional.empty();
    /** True if the whole answer is held back; its connection may carry other answers by now. */
    boolean endHeld;
    /** True if the upstream that was leaving has closed the answer's connection and is gone. */
    boolean upstreamExited;

    /**
     * Creates an attempt that is not started.
     *
     * @param target where the request is sent
     * @param requestBody the body of the request
     * @param bufferedBody an empty body, released at the end of the attempt
     */
    RunningAttempt(AttemptTarget target, SendingBody requestBody, CountedBody bufferedBody) {
        this.target = target;
        this.requestBody = requestBody;
        this.bufferedBody = bufferedBody;
    }

    /** Takes or opens a connection, and sends the request on it. The attempt may have ended before this returns. */
    abstract void start();

    /**
     * Returns whether the target gives no sign of life although an answer is due.
     *
     * @return false before the request is sent
     */
    abstract boolean isSilent();

    /**
     * Ends the attempt and closes its connection, so that the upstream stops. Has no effect on one that has ended.
     *
     * @param outcome how it ended
     */
    void cancel(Outcome outcome) {
        if (settled) {
            return;
        }
        if (connection != null) {
            cancelConnection();
        }
        settle(outcome);
    }

    /** Closes the connection, so that the upstream stops, unless the upstream has ended the answer. */
    void cancelConnection() {
        if (!endHeld) {
            connection.cancel();
        }
    }

    /**
     * Ends the attempt. Has no effect on one that has ended.
     *
     * @param outcome how it ended
     */
    void settle(Outcome outcome) {
        if (settled) {
            return;
        }
        settled = true;
        if (checkTimer != null) {
            checkTimer.cancel(false);
        }
        endCheck.ifPresent(ProcessChecks.Pending::cancel);
        bufferedBody.release();
        requestBody.onAttemptEnded();
        if (!endHeld) {
            target.onEnded(outcome);
        }
    }

    /** Records that the upstream has ended the answer, which is held back. */
    void onEndHeld() {
        endHeld = true;
        target.onEnded(Outcome.ANSWERED);
    }

    /**
     * Returns whether the answer has gone on for so long that the request does not crash the upstream.
     *
     * @param nowMillis the time in milliseconds
     * @return false before the answer has begun
     */
    boolean isEstablished(long nowMillis) {
        return answerBeganMillis >= 0 && nowMillis - answerBeganMillis >= ESTABLISHED_ANSWER_MILLIS;
    }

    /**
     * Adds what is known of the attempt to a log line.
     *
     * @param line the line
     * @param nowMillis the time in milliseconds
     */
    void describe(LogFields line, long nowMillis) {
        line.field("sentAgoMillis", sent ? nowMillis - sentMillis : -1)
                .field("answerBeganAgoMillis", answerBeganMillis < 0 ? -1 : nowMillis - answerBeganMillis)
                .field("headReceived", head != null)
                .field("framing", connection == null ? "" : connection.framing());
        target.describe(line);
    }
}
