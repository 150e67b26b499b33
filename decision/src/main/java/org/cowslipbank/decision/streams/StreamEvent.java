package org.cowslipbank.decision.streams;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * What happens to a stream. Engine events carry the attempt that the engine named, not the one that the connection was
 * opened for, and the number of the connection on which they arrived.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StreamEvent.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = StreamEvent.NotSent.class, name = "not_sent"),
    @JsonSubTypes.Type(value = StreamEvent.Started.class, name = "started"),
    @JsonSubTypes.Type(value = StreamEvent.Token.class, name = "token"),
    @JsonSubTypes.Type(value = StreamEvent.Heartbeat.class, name = "heartbeat"),
    @JsonSubTypes.Type(value = StreamEvent.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = StreamEvent.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = StreamEvent.CallerTook.class, name = "caller_took"),
    @JsonSubTypes.Type(value = StreamEvent.CallerGone.class, name = "caller_gone"),
    @JsonSubTypes.Type(value = StreamEvent.Tick.class, name = "tick")
})
public sealed interface StreamEvent {
    /**
     * The shell chose an upstream and is about to send the attempt. It comes before any engine event of the attempt.
     *
     * @param attempt the attempt
     * @param upstream the upstream
     * @param expected the weight version that the call names
     */
    record Sent(AttemptId attempt, UpstreamId upstream, ModelRef expected) implements StreamEvent {}

    /**
     * The shell did not send the attempt; nothing of it ran.
     *
     * @param attempt the attempt
     * @param reason the reason
     * @param retryAfterMillis when to ask again, in milliseconds from now
     */
    record NotSent(AttemptId attempt, NotSentReason reason, long retryAfterMillis) implements StreamEvent {}

    /**
     * The engine began or resumed the run.
     *
     * @param attempt the attempt
     * @param connection the connection
     * @param ran the model, weight version and adapter that the engine runs
     */
    record Started(AttemptId attempt, int connection, ModelRef ran) implements StreamEvent {}

    /**
     * One generated token.
     *
     * @param attempt the attempt
     * @param connection the connection
     * @param index the token's index in the whole answer, from zero
     * @param text the token's text
     */
    record Token(AttemptId attempt, int connection, int index, String text) implements StreamEvent {}

    /**
     * The run is alive.
     *
     * @param attempt the attempt
     * @param connection the connection
     */
    record Heartbeat(AttemptId attempt, int connection) implements StreamEvent {}

    /**
     * The run has finished.
     *
     * @param attempt the attempt
     * @param connection the connection
     * @param run reason and token counts of the run; a continuation's count excludes the tokens it was given
     */
    record Finished(AttemptId attempt, int connection, FinishedRun run) implements StreamEvent {}

    /**
     * A connection or the whole attempt failed.
     *
     * @param attempt the attempt for which the connection was opened
     * @param connection the connection
     * @param kind how it failed
     */
    record Failed(AttemptId attempt, int connection, FailureKind kind) implements StreamEvent {}

    /**
     * The caller's socket accepted tokens.
     *
     * @param tokens tokens accepted since the last such event
     */
    record CallerTook(int tokens) implements StreamEvent {}

    /** The caller has disconnected. */
    record CallerGone() implements StreamEvent {}

    /** Time has passed; the shell sends it at the latest at {@link StreamState#nextCheckMillis()}. */
    record Tick() implements StreamEvent {}
}
