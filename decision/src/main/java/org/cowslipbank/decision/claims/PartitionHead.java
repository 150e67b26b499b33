package org.cowslipbank.decision.claims;

import java.util.ArrayList;
import java.util.List;

/**
 * Head value of a partition: where its log begins and which snapshot segments precede it.
 *
 * @param floorSequence the first sequence that is not in a segment; log values below it may be deleted
 * @param floorWindow the first window whose records are complete; keys of earlier windows are refused
 * @param segments the snapshot segments in ascending order of their sequences
 */
public record PartitionHead(long floorSequence, long floorWindow, List<Segment> segments) {
    /** Head of a partition without snapshot segments. */
    public static final PartitionHead EMPTY = new PartitionHead(1, Long.MIN_VALUE, List.of());

    // Keeps the encoded head, with about 120 bytes a segment, well below the largest value that the key-value service
    // accepts.
    private static final int MAX_SEGMENTS = 6_000;

    /**
     * Reference to a snapshot segment, which replaces a range of log values.
     *
     * @param key key of the {@link SegmentValue} in the key-value service
     * @param firstSequence the first sequence in the segment
     * @param lastSequence the last sequence in the segment
     * @param maxWindow the latest window of its entries
     */
    public record Segment(String key, long firstSequence, long lastSequence, long maxWindow) {}

    /** Makes an unmodifiable copy of the segments; null elements are rejected with NullPointerException. */
    public PartitionHead {
        segments = List.copyOf(segments);
    }

    PartitionHead append(Segment segment, long oldestWindow) {
        List<Segment> next = new ArrayList<>(segments);
        next.add(segment);
        long window = Math.max(floorWindow, oldestWindow);
        // A higher floor only refuses more keys, so it is safe to raise it when the head grows too large.
        while (next.size() > MAX_SEGMENTS) {
            window = Math.max(window, next.remove(0).maxWindow() + 1);
        }
        long floor = window;
        next.removeIf(kept -> kept.maxWindow() < floor);
        return new PartitionHead(segment.lastSequence() + 1, floor, next);
    }

    boolean contains(String segmentKey) {
        return segments.stream().anyMatch(segment -> segment.key().equals(segmentKey));
    }

    List<String> segmentKeysMissingIn(PartitionHead later) {
        return segments.stream()
                .map(Segment::key)
                .filter(key -> !later.contains(key))
                .toList();
    }
}
