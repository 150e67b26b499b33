package org.cowslipbank.decision.streams;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.UpstreamId;

/** What the shell has to do. Effects are carried out in the order of their list. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "effect")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StreamEffect.Start.class, name = "start"),
    @JsonSubTypes.Type(value = StreamEffect.Resume.class, name = "resume"),
    @JsonSubTypes.Type(value = StreamEffect.Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = StreamEffect.Emit.class, name = "emit"),
    @JsonSubTypes.Type(value = StreamEffect.Discard.class, name = "discard"),
    @JsonSubTypes.Type(value = StreamEffect.Complete.class, name = "complete"),
    @JsonSubTypes.Type(value = StreamEffect.Fail.class, name = "fail"),
    @JsonSubTypes.Type(value = StreamEffect.PauseReading.class, name = "pause_reading"),
    @JsonSubTypes.Type(value = StreamEffect.ContinueReading.class, name = "continue_reading"),
    @JsonSubTypes.Type(value = StreamEffect.UpstreamGivenUp.class, name = "upstream_given_up"),
    @JsonSubTypes.Type(value = StreamEffect.Dropped.class, name = "dropped")
})
public sealed interface StreamEffect {
    /**
     * Choose an upstream and send an attempt, then answer with {@link StreamEvent.Sent} or {@link StreamEvent.NotSent}.
     * For a number above one the retry policy is asked first.
     *
     * @param attempt the attempt
     * @param number number of the attempt, from one
     * @param fromToken tokens already emitted, to be given as continuation; zero for a new run
     * @param requiredModel the version to run on if {@code fromToken} is above zero; otherwise the version wanted, for
     *     which the shell may put the version that is active now
     * @param avoid upstreams on which attempts of this stream failed
     */
    record Start(AttemptId attempt, int number, int fromToken, ModelRef requiredModel, List<UpstreamId> avoid)
            implements StreamEffect {
        /** Copies the list. */
        public Start {
            avoid = List.copyOf(avoid);
        }
    }

    /**
     * Open a new connection to the same upstream and resume the run there. The old connection is closed without
     * cancelling the run.
     *
     * @param attempt the attempt
     * @param connection number of the new connection, to be given with its events
     * @param upstream the upstream
     * @param fromToken first token wanted
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

    /** Forget the tokens collected for a non-streaming request: the answer starts again from zero. */
    record Discard() implements StreamEffect {}

    /**
     * End the answer.
     *
     * @param run finish reason and token counts of the whole answer
     */
    record Complete(FinishedRun run) implements StreamEffect {}

    /**
     * Tell the caller an error and end the stream.
     *
     * @param refusal the error with its run state
     */
    record Fail(Refusal refusal) implements StreamEffect {}

    /**
     * Stop reading from the engine, because the caller does not read.
     *
     * @param attempt the attempt
     */
    record PauseReading(AttemptId attempt) implements StreamEffect {}

    /**
     * Read from the engine again.
     *
     * @param attempt the attempt
     */
    record ContinueReading(AttemptId attempt) implements StreamEffect {}

    /**
     * Report that resuming at an upstream failed or that a run there makes no progress.
     *
     * @param upstream the upstream
     * @param attempt the attempt
     * @param silent true if nothing at all was heard, which is evidence against the upstream as a whole
     */
    record UpstreamGivenUp(UpstreamId upstream, AttemptId attempt, boolean silent) implements StreamEffect {}

    /**
     * An event was dropped: it belongs to another attempt or repeats a token.
     *
     * @param attempt the attempt that the event named
     */
    record Dropped(AttemptId attempt) implements StreamEffect {}
}
