package org.cowslipbank.decision.streams;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.UpstreamId;

/** An action that the state machine requests. Its caller carries out the effects in the order of their list. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "effect")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StreamEffect.Start.class, name = "start"),
    @JsonSubTypes.Type(value = StreamEffect.Resume.class, name = "resume"),
    @JsonSubTypes.Type(value = StreamEffect.Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = StreamEffect.Emit.class, name = "emit"),
    @JsonSubTypes.Type(value = StreamEffect.DiscardTokens.class, name = "discard"),
    @JsonSubTypes.Type(value = StreamEffect.Complete.class, name = "complete"),
    @JsonSubTypes.Type(value = StreamEffect.Fail.class, name = "fail"),
    @JsonSubTypes.Type(value = StreamEffect.PauseReading.class, name = "pause_reading"),
    @JsonSubTypes.Type(value = StreamEffect.ContinueReading.class, name = "continue_reading"),
    @JsonSubTypes.Type(value = StreamEffect.UpstreamGivenUp.class, name = "upstream_given_up"),
    @JsonSubTypes.Type(value = StreamEffect.EventDropped.class, name = "dropped")
})
public sealed interface StreamEffect {
    /**
     * Choose an upstream and send an attempt, then answer with {@link StreamEvent.Sent} or {@link StreamEvent.NotSent}.
     * Before any attempt after the first, the retry policy is checked.
     *
     * @param attempt the attempt
     * @param number number of the attempt, from one
     * @param fromToken number of tokens already emitted, which the run continues from; zero for a new run
     * @param requiredModel the version to run on if {@code fromToken} is above zero; otherwise the preferred version, which
     *     may be replaced by the currently active one
     * @param avoid upstreams on which attempts of this stream failed
     */
    record Start(AttemptId attempt, int number, int fromToken, ModelRef requiredModel, List<UpstreamId> avoid)
            implements StreamEffect {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Start {
            avoid = List.copyOf(avoid);
        }
    }

    /**
     * Open a new connection to the same upstream and resume the run there. The old connection is closed without
     * cancelling the run.
     *
     * @param attempt the attempt
     * @param connection number of the new connection, which its events must carry
     * @param upstream the upstream
     * @param fromToken index of the first token to receive
     */
    record Resume(AttemptId attempt, int connection, UpstreamId upstream, int fromToken) implements StreamEffect {}

    /**
     * Cancel a run whose events are no longer wanted.
     *
     * @param attempt the attempt
     * @param upstream the upstream
     */
    record Cancel(AttemptId attempt, UpstreamId upstream) implements StreamEffect {}

    /**
     * Relay a token, or append it to the answer of a non-streaming request.
     *
     * @param index the token's index in the answer
     * @param text the token's text
     */
    record Emit(int index, String text) implements StreamEffect {}

    /** Drop the tokens collected for a non-streaming request, because the answer starts again from the first token. */
    record DiscardTokens() implements StreamEffect {}

    /**
     * Complete the answer.
     *
     * @param run finish reason and token counts of the whole answer
     */
    record Complete(FinishedRun run) implements StreamEffect {}

    /**
     * Return an error to the caller and end the stream.
     *
     * @param refusal the error with its run state
     */
    record Fail(Refusal refusal) implements StreamEffect {}

    /**
     * Stop reading from the engine, because the caller does not read fast enough.
     *
     * @param attempt the attempt
     */
    record PauseReading(AttemptId attempt) implements StreamEffect {}

    /**
     * Resume reading from the engine.
     *
     * @param attempt the attempt
     */
    record ContinueReading(AttemptId attempt) implements StreamEffect {}

    /**
     * Report that an attempt at an upstream was abandoned: resuming failed, or the run made no progress.
     *
     * @param upstream the upstream
     * @param attempt the attempt
     * @param silent true if no events arrived on any connection, which suggests that the whole upstream has failed
     */
    record UpstreamGivenUp(UpstreamId upstream, AttemptId attempt, boolean silent) implements StreamEffect {}

    /**
     * Report a dropped event, which belonged to another attempt or repeated a token.
     *
     * @param attempt the attempt that the event named
     */
    record EventDropped(AttemptId attempt) implements StreamEffect {}
}
