package org.cowslipbank.decision.claims;

import java.util.List;

/** Call to the key-value service that a {@link PartitionOwner} requests. At most one is open at a time. */
public sealed interface PlatformCall {
    /** Reads the partition's head. Answered by {@link PlatformReply.HeadRead}. */
    record ReadHead() implements PlatformCall {}

    /**
     * Reads snapshot segments. Answered by {@link PlatformReply.SegmentsRead}.
     *
     * @param keys keys of the segments
     */
    record ReadSegments(List<String> keys) implements PlatformCall {}

    /**
     * Lists the sequences of log values in ascending order. Answered by {@link PlatformReply.LogListed}.
     *
     * @param fromSequence the lowest sequence to list
     * @param limit maximum number of sequences
     */
    record ListLog(long fromSequence, int limit) implements PlatformCall {}

    /**
     * Reads log values. Answered by {@link PlatformReply.LogRead}.
     *
     * @param sequences sequences of the log values
     */
    record ReadLog(List<Long> sequences) implements PlatformCall {}

    /**
     * Creates a log value if it is absent. Answered by {@link PlatformReply.Written}.
     *
     * @param sequence sequence of the log value
     * @param batch the value
     */
    record CreateLog(long sequence, ClaimBatch batch) implements PlatformCall {}

    /**
     * Creates a snapshot segment if it is absent. Answered by {@link PlatformReply.Written}.
     *
     * @param key key of the segment
     * @param value the value
     */
    record CreateSegment(String key, SegmentValue value) implements PlatformCall {}

    /**
     * Writes the head by compare-and-swap. Answered by {@link PlatformReply.Written}.
     *
     * @param version the expected version, zero to create it
     * @param head the new head
     */
    record SwapHead(long version, PartitionHead head) implements PlatformCall {}

    /**
     * Deletes log values and snapshot segments. Answered by {@link PlatformReply.Written}.
     *
     * @param sequences sequences of the log values
     * @param segmentKeys keys of the segments
     */
    record Delete(List<Long> sequences, List<String> segmentKeys) implements PlatformCall {}
}
