package org.cowslipbank.decision.trace.invariant;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** An observed event of a run, recorded in a trace for the invariant checks. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fact")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.RequestStarted.class, name = "request_started"),
    @JsonSubTypes.Type(value = TraceEvent.AttemptSent.class, name = "attempt_sent"),
    @JsonSubTypes.Type(value = TraceEvent.AttemptRan.class, name = "attempt_ran"),
    @JsonSubTypes.Type(value = TraceEvent.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = TraceEvent.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = TraceEvent.CallerDisconnected.class, name = "caller_gone"),
    @JsonSubTypes.Type(value = TraceEvent.AllRequestsEnded.class, name = "all_ended"),
    @JsonSubTypes.Type(value = TraceEvent.BlockWriteBegun.class, name = "block_write_begun"),
    @JsonSubTypes.Type(value = TraceEvent.BlockCommitted.class, name = "block_committed"),
    @JsonSubTypes.Type(value = TraceEvent.BlockFreed.class, name = "block_freed"),
    @JsonSubTypes.Type(value = TraceEvent.BlockUsed.class, name = "block_used"),
    @JsonSubTypes.Type(value = TraceEvent.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = TraceEvent.ServiceRan.class, name = "service_ran"),
    @JsonSubTypes.Type(value = TraceEvent.RevisionApplied.class, name = "revision_applied"),
    @JsonSubTypes.Type(value = TraceEvent.UpstreamLeaving.class, name = "upstream_leaving"),
    @JsonSubTypes.Type(value = TraceEvent.UpstreamReturned.class, name = "upstream_returned")
})
public sealed interface TraceEvent {
    /**
     * A node accepted a request for processing.
     *
     * @param request the request
     * @param team the team that owns the request's API key
     */
    record RequestStarted(RequestId request, TeamId team) implements TraceEvent {}

    /**
     * A node sent new work to an upstream. Resuming a run does not count as new work.
     *
     * @param request the request
     * @param attempt the attempt
     * @param upstream the upstream
     * @param expected the model and weight version that the attempt requires; null for a plain service
     */
    record AttemptSent(RequestId request, AttemptId attempt, UpstreamId upstream, ModelRef expected)
            implements TraceEvent {}

    /**
     * An engine began to run an attempt.
     *
     * @param request the request
     * @param attempt the attempt
     * @param ran the model and weight version that ran
     */
    record AttemptRan(RequestId request, AttemptId attempt, ModelRef ran) implements TraceEvent {}

    /**
     * A caller received an answer.
     *
     * @param request the caller's request
     * @param answerOf the request for which the answer was generated
     * @param attempt the attempt that finished the answer; null for a plain service
     * @param complete true if the caller received the whole answer
     */
    record Answered(RequestId request, RequestId answerOf, AttemptId attempt, boolean complete) implements TraceEvent {}

    /**
     * A caller received a refusal or an error.
     *
     * @param request the request
     * @param run the run state stated in the refusal
     */
    record Refused(RequestId request, RunState run) implements TraceEvent {}

    /**
     * A caller disconnected.
     *
     * @param request the request
     */
    record CallerDisconnected(RequestId request) implements TraceEvent {}

    /** Marks that every request of the trace has ended, so that a request without an end is a violation. */
    record AllRequestsEnded() implements TraceEvent {}

    /**
     * A store began to write a block.
     *
     * @param store the store
     * @param key key of the block
     * @param generation generation of the block
     */
    record BlockWriteBegun(StoreId store, BlockKey key, long generation) implements TraceEvent {}

    /**
     * A store committed a block.
     *
     * @param block the block with its length and checksum
     */
    record BlockCommitted(BlockRef block) implements TraceEvent {}

    /**
     * A store freed a block.
     *
     * @param store the store
     * @param key key of the block
     * @param generation generation of the freed block
     */
    record BlockFreed(StoreId store, BlockKey key, long generation) implements TraceEvent {}

    /**
     * An attempt used a retained block.
     *
     * @param request the request
     * @param attempt the attempt
     * @param expected the requested reference
     * @param received block identity received with the data
     * @param generation block generation received with the data
     * @param lengthBytes length of the data in bytes
     * @param checksum checksum of the data
     */
    record BlockUsed(
            RequestId request,
            AttemptId attempt,
            BlockRef expected,
            BlockIdentity received,
            long generation,
            long lengthBytes,
            long checksum)
            implements TraceEvent {}

    /**
     * A claim of a non-repeatable request was recorded.
     *
     * @param team the team
     * @param key the caller's idempotency key
     * @param token identifier of the claim
     */
    record Claimed(TeamId team, String key, String token) implements TraceEvent {}

    /**
     * A plain service ran a non-repeatable request.
     *
     * @param request the request
     * @param team the team
     * @param key the caller's idempotency key
     * @param token the claim under which it was sent
     */
    record ServiceRan(RequestId request, TeamId team, String key, String token) implements TraceEvent {}

    /**
     * A node applied a configuration.
     *
     * @param node the node
     * @param revision revision of the configuration
     */
    record RevisionApplied(VmId node, long revision) implements TraceEvent {}

    /**
     * An upstream started leaving and must get no new work.
     *
     * @param upstream the upstream
     */
    record UpstreamLeaving(UpstreamId upstream) implements TraceEvent {}

    /**
     * An upstream takes work again.
     *
     * @param upstream the upstream
     */
    record UpstreamReturned(UpstreamId upstream) implements TraceEvent {}
}
