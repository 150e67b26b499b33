package org.cowslipbank.decision.claims;

import java.util.ArrayList;
import java.util.List;

/**
 * The head value of a partition: where its log begins and which snapshots precede it.
 *
 * @param floorSequence the first sequence that is not in a snapshot; log values below it may be deleted
 * @param floorWindow the first window whose records are complete; keys of earlier windows are refused
 * @param segments the snapshots in order
 */
public record PartitionHead(long floorSequence, long floorWindow, List<Segment> segments) {
    /** Head of a partition without snapshots. */
    public static final PartitionHead EMPTY = new PartitionHead(1, Long.MIN_VALUE, List.of());

    // Keeps the serialized head, with some 120 bytes a segment, well below the largest value.
    private static final int MAX_SEGMENTS = 6_000;

    /**
     * A snapshot value that replaces a range of log values.
     *
     * @param key the snapshot's key in the key-value service
     * @param firstSequence the first sequence it holds
     * @param lastSequence the last sequence it holds
     * @param maxWindow the latest window of any of its entries
     */
    public record Segment(String key, long firstSequence, long lastSequence, long maxWindow) {}

    /** Copies the list. */
    public PartitionHead {
        segments = List.copyOf(segments);
    }

    PartitionHead append(Segment segment, long oldestWindow) {
        List<Segment> next = new ArrayList<>(segments);
        next.add(segment);
        long window = Math.max(floorWindow, oldestWindow);
        // Raising the floor early only refuses more keys, so it is safe when the head grows too large.
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
