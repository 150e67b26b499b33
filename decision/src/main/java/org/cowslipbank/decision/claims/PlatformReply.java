package org.cowslipbank.decision.claims;

import java.util.List;
import java.util.Optional;

/** Reply to a {@link PlatformCall}. */
public sealed interface PlatformReply {
    /**
     * The head.
     *
     * @param version its version, zero if it does not exist
     * @param head the value, {@link PartitionHead#EMPTY} if it does not exist
     */
    record HeadRead(long version, PartitionHead head) implements PlatformReply {}

    /**
     * Snapshots.
     *
     * @param segments one for each key asked for, empty if it does not exist
     */
    record SegmentsRead(List<Optional<SegmentValue>> segments) implements PlatformReply {}

    /**
     * Sequences of existing log values.
     *
     * @param sequences the sequences in ascending order
     */
    record LogListed(List<Long> sequences) implements PlatformReply {}

    /**
     * Log values.
     *
     * @param batches one for each sequence asked for, empty if it does not exist
     */
    record LogRead(List<Optional<ClaimBatch>> batches) implements PlatformReply {}

    /**
     * A write was carried out or declined.
     *
     * @param done true if it took effect
     */
    record Written(boolean done) implements PlatformReply {}

    /**
     * The call failed.
     *
     * @param certainlyNotDone true if it certainly had no effect and never will
     */
    record Failed(boolean certainlyNotDone) implements PlatformReply {}
}
