package org.cowslipbank.decision.streams;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * An input of the state machine. Engine events carry the attempt that the engine named, which may differ from the one
 * that the connection was opened for, and the number of the connection on which they arrived.
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
    @JsonSubTypes.Type(value = StreamEvent.CallerAccepted.class, name = "caller_took"),
    @JsonSubTypes.Type(value = StreamEvent.CallerDisconnected.class, name = "caller_gone"),
    @JsonSubTypes.Type(value = StreamEvent.Tick.class, name = "tick")
})
public sealed interface StreamEvent {
    /**
     * An upstream was chosen and the attempt is about to be sent. Precedes all engine events of the attempt.
     *
     * @param attempt the attempt
     * @param upstream the upstream
     * @param expected the model, weight version and adapter named in the call to the engine
     */
    record Sent(AttemptId attempt, UpstreamId upstream, ModelRef expected) implements StreamEvent {}

    /**
     * The attempt was not sent, so it did not run.
     *
     * @param attempt the attempt
     * @param reason the reason
     * @param retryAfterMillis delay in milliseconds before trying again
     */
    record NotSent(AttemptId attempt, NotSentReason reason, long retryAfterMillis) implements StreamEvent {}

    /**
     * The engine started or resumed the run.
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
     * The engine reports that the run is still alive.
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
     * @param run finish reason and token counts; for a continuation the count excludes the tokens emitted before it
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
     * @param tokens number of tokens accepted since the last event of this type
     */
    record CallerAccepted(int tokens) implements StreamEvent {}

    /** The caller has disconnected. */
    record CallerDisconnected() implements StreamEvent {}

    /** Time has passed. Due no later than {@link StreamState#nextCheckMillis()}. */
    record Tick() implements StreamEvent {}
}
