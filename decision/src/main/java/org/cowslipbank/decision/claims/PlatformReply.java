package org.cowslipbank.decision.claims;

import java.util.List;
import java.util.Optional;

/** Reply to a {@link PlatformCall}. */
public sealed interface PlatformReply {
    /**
     * The partition's head.
     *
     * @param version version of the head, zero if it does not exist
     * @param head the head, {@link PartitionHead#EMPTY} if it does not exist
     */
    record HeadRead(long version, PartitionHead head) implements PlatformReply {}

    /**
     * The snapshot segments that were asked for.
     *
     * @param segments one element for each key in the call, empty if the segment does not exist
     */
    record SegmentsRead(List<Optional<SegmentValue>> segments) implements PlatformReply {}

    /**
     * Sequences of existing log values.
     *
     * @param sequences sequences in ascending order, at most as many as the call's limit
     */
    record LogListed(List<Long> sequences) implements PlatformReply {}

    /**
     * The log values that were asked for.
     *
     * @param batches one element for each sequence in the call, empty if the log value does not exist
     */
    record LogRead(List<Optional<ClaimBatch>> batches) implements PlatformReply {}

    /**
     * The service has answered a write.
     *
     * @param applied true if the write took effect, false if its condition did not hold
     */
    record Written(boolean applied) implements PlatformReply {}

    /**
     * The call failed or timed out.
     *
     * @param certainlyNotApplied true if the call has had no effect and cannot have one later
     */
    record Failed(boolean certainlyNotApplied) implements PlatformReply {}
}
