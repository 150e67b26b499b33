package org.cowslipbank.decision.claims;

import java.util.List;

/** A call of the key-value service that a partition's owner wants made. At most one is open at a time. */
public sealed interface PlatformCall {
    /** Reads the partition's head. Answered by {@link PlatformReply.HeadRead}. */
    record ReadHead() implements PlatformCall {}

    /**
     * Reads snapshots. Answered by {@link PlatformReply.SegmentsRead}.
     *
     * @param keys their keys
     */
    record ReadSegments(List<String> keys) implements PlatformCall {}

    /**
     * Lists log values in ascending order. Answered by {@link PlatformReply.LogListed}.
     *
     * @param fromSequence the first sequence of interest
     * @param limit the most sequences returned
     */
    record ListLog(long fromSequence, int limit) implements PlatformCall {}

    /**
     * Reads log values. Answered by {@link PlatformReply.LogRead}.
     *
     * @param sequences their sequences
     */
    record ReadLog(List<Long> sequences) implements PlatformCall {}

    /**
     * Creates a log value if it is absent. Answered by {@link PlatformReply.Written}.
     *
     * @param sequence its sequence
     * @param batch the value
     */
    record CreateLog(long sequence, ClaimBatch batch) implements PlatformCall {}

    /**
     * Creates a snapshot if it is absent. Answered by {@link PlatformReply.Written}.
     *
     * @param key its key
     * @param value the value
     */
    record CreateSegment(String key, SegmentValue value) implements PlatformCall {}

    /**
     * Writes the head by compare-and-swap. Answered by {@link PlatformReply.Written}.
     *
     * @param version the expected version, zero to create it
     * @param head the value
     */
    record SwapHead(long version, PartitionHead head) implements PlatformCall {}

    /**
     * Deletes log values and snapshots. Answered by {@link PlatformReply.Written}.
     *
     * @param sequences the log values
     * @param segmentKeys the snapshots
     */
    record Delete(List<Long> sequences, List<String> segmentKeys) implements PlatformCall {}
}
