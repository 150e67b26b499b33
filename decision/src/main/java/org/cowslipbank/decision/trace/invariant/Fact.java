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

/** Something that happened in a run. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fact")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Fact.RequestStarted.class, name = "request_started"),
    @JsonSubTypes.Type(value = Fact.AttemptSent.class, name = "attempt_sent"),
    @JsonSubTypes.Type(value = Fact.AttemptRan.class, name = "attempt_ran"),
    @JsonSubTypes.Type(value = Fact.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Fact.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Fact.CallerGone.class, name = "caller_gone"),
    @JsonSubTypes.Type(value = Fact.AllEnded.class, name = "all_ended"),
    @JsonSubTypes.Type(value = Fact.BlockWriteBegun.class, name = "block_write_begun"),
    @JsonSubTypes.Type(value = Fact.BlockCommitted.class, name = "block_committed"),
    @JsonSubTypes.Type(value = Fact.BlockFreed.class, name = "block_freed"),
    @JsonSubTypes.Type(value = Fact.BlockUsed.class, name = "block_used"),
    @JsonSubTypes.Type(value = Fact.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = Fact.ServiceRan.class, name = "service_ran"),
    @JsonSubTypes.Type(value = Fact.RevisionApplied.class, name = "revision_applied"),
    @JsonSubTypes.Type(value = Fact.UpstreamLeaving.class, name = "upstream_leaving"),
    @JsonSubTypes.Type(value = Fact.UpstreamReturned.class, name = "upstream_returned")
})
public sealed interface Fact {
    /**
     * A node took a request.
     *
     * @param request the request
     * @param team the team of its key
     */
    record RequestStarted(RequestId request, TeamId team) implements Fact {}

    /**
     * A node sent new work to an upstream. Resuming a run is no new work.
     *
     * @param request the request
     * @param attempt the attempt
     * @param upstream the upstream
     * @param expected the model and weight version that the attempt asks for; null at a plain service
     */
    record AttemptSent(RequestId request, AttemptId attempt, UpstreamId upstream, ModelRef expected) implements Fact {}

    /**
     * An engine began to run an attempt.
     *
     * @param request the request
     * @param attempt the attempt
     * @param ran the model and weight version that ran
     */
    record AttemptRan(RequestId request, AttemptId attempt, ModelRef ran) implements Fact {}

    /**
     * A caller received an answer.
     *
     * @param request the caller's request
     * @param answerOf the request that the answer was made for
     * @param attempt the attempt that finished the answer; null at a plain service
     * @param complete true if nothing of the answer was missing
     */
    record Answered(RequestId request, RequestId answerOf, AttemptId attempt, boolean complete) implements Fact {}

    /**
     * A caller received a refusal or an error.
     *
     * @param request the request
     * @param run what the refusal says of the run
     */
    record Refused(RequestId request, RunState run) implements Fact {}

    /**
     * A caller disconnected.
     *
     * @param request the request
     */
    record CallerGone(RequestId request) implements Fact {}

    /** The trace covers every request to its end. */
    record AllEnded() implements Fact {}

    /**
     * A store began to take in a block.
     *
     * @param store the store
     * @param key the block
     * @param generation its generation
     */
    record BlockWriteBegun(StoreId store, BlockKey key, long generation) implements Fact {}

    /**
     * A store committed a block.
     *
     * @param block the block with its length and checksum
     */
    record BlockCommitted(BlockRef block) implements Fact {}

    /**
     * A store freed a block.
     *
     * @param store the store
     * @param key the block
     * @param generation the generation that ended
     */
    record BlockFreed(StoreId store, BlockKey key, long generation) implements Fact {}

    /**
     * An attempt used a retained block.
     *
     * @param request the request
     * @param attempt the attempt
     * @param expected the reference that was asked for
     * @param received identity that came with the data
     * @param generation generation that came with the data
     * @param lengthBytes length of the data
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
            implements Fact {}

    /**
     * A claim of a non-repeatable request was recorded.
     *
     * @param team the team
     * @param key the caller's idempotency key
     * @param token identifies the claim
     */
    record Claimed(TeamId team, String key, String token) implements Fact {}

    /**
     * A plain service ran a non-repeatable request.
     *
     * @param request the request
     * @param team the team
     * @param key the caller's idempotency key
     * @param token the claim under which it was sent
     */
    record ServiceRan(RequestId request, TeamId team, String key, String token) implements Fact {}

    /**
     * A node put a configuration into force.
     *
     * @param node the node
     * @param revision the revision
     */
    record RevisionApplied(VmId node, long revision) implements Fact {}

    /**
     * An upstream began to leave.
     *
     * @param upstream the upstream
     */
    record UpstreamLeaving(UpstreamId upstream) implements Fact {}

    /**
     * An upstream takes work again.
     *
     * @param upstream the upstream
     */
    record UpstreamReturned(UpstreamId upstream) implements Fact {}
}
