package org.cowslipbank.decision.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Moves log values of a partition to snapshot values and drops snapshots whose windows have passed.
 *
 * <p>The order of the writes carries the guarantee: the snapshot is created, the head that names it is swapped, and
 * only then are the log values deleted. A node that reads the head after a log value is missing finds the snapshot.
 */
final class Compaction {
    private static final int MAX_VALUES = 256;
    private static final int MAX_SNAPSHOT_BYTES = 600_000;
    private static final long MAX_LOG_AGE_MILLIS = 600_000;
    // Clocks of nodes may differ by up to two windows without a key being refused that another node still accepts.
    private static final int SPARE_WINDOWS = 2;

    private enum State {
        IDLE,
        READ_HEAD,
        READ_LOG,
        CREATE,
        SWAP,
        RESOLVE_SWAP,
        DELETE
    }

    private record Observed(long sequence, long observedMillis, int bytes, long maxWindow) {}

    private final int partition;
    private final ClaimWindows windows;
    private final String keyPrefix;
    private final Deque<Observed> observed = new ArrayDeque<>();

    private State state = State.IDLE;
    private long snapshots;
    private List<Observed> range = List.of();
    private long headVersion;
    private PartitionHead before = PartitionHead.EMPTY;
    private PartitionHead after = PartitionHead.EMPTY;
    private PartitionHead.Segment segment;
    private SegmentValue value;
    private long oldestWindow;

    Compaction(int partition, ClaimWindows windows, String keyPrefix) {
        this.partition = partition;
        this.windows = windows;
        this.keyPrefix = keyPrefix;
    }

    void restart() {
        observed.clear();
        state = State.IDLE;
    }

    void observed(long sequence, ClaimBatch batch, ClaimTime now) {
        observed.add(new Observed(sequence, now.monotonicMillis(), batch.estimateBytes(), batch.maxWindow()));
    }

    Optional<PlatformCall> next(PartitionHead head, long endSequence, ClaimTime now) {
        oldestWindow = windows.current(now.wallMillis()) - windows.retentionWindows() - SPARE_WINDOWS;
        if (state == State.IDLE && !chooseRange(head, endSequence, now)) {
            return Optional.empty();
        }
        if (state == State.IDLE) {
            state = State.READ_HEAD;
        }
        return Optional.of(call());
    }

    private PlatformCall call() {
        return switch (state) {
            case IDLE, READ_HEAD, RESOLVE_SWAP -> new PlatformCall.ReadHead();
            case READ_LOG -> new PlatformCall.ReadLog(sequences());
            case CREATE -> new PlatformCall.CreateSegment(segment.key(), value);
            case SWAP -> new PlatformCall.SwapHead(headVersion, after);
            case DELETE -> new PlatformCall.Delete(sequences(), before.segmentKeysMissingIn(after));
        };
    }

    // Returns the head to adopt, if it has changed.
    Optional<PartitionHead> replied(PlatformReply reply) {
        if (reply instanceof PlatformReply.Failed) {
            failed();
            return Optional.empty();
        }
        switch (state) {
            case READ_HEAD -> headRead((PlatformReply.HeadRead) reply);
            case READ_LOG -> logRead((PlatformReply.LogRead) reply);
            case CREATE -> written(reply, State.SWAP, State.IDLE);
            case SWAP -> written(reply, State.DELETE, State.RESOLVE_SWAP);
            case RESOLVE_SWAP -> swapResolved((PlatformReply.HeadRead) reply);
            case DELETE -> written(reply, State.IDLE, State.IDLE);
            default -> throw new IllegalStateException("no call was open");
        }
        return state == State.DELETE ? Optional.of(after) : Optional.empty();
    }

    private void written(PlatformReply reply, State done, State notDone) {
        state = ((PlatformReply.Written) reply).done() ? done : notDone;
    }

    private void failed() {
        // Only an unknown swap must be looked up; everything else can be given up and started again.
        state = state == State.SWAP || state == State.RESOLVE_SWAP ? State.RESOLVE_SWAP : State.IDLE;
    }

    private boolean chooseRange(PartitionHead head, long endSequence, ClaimTime now) {
        while (!observed.isEmpty() && observed.peekFirst().sequence() < head.floorSequence()) {
            observed.removeFirst();
        }
        if (observed.isEmpty() || observed.peekFirst().sequence() != head.floorSequence()) {
            return false;
        }
        List<Observed> chosen = new ArrayList<>();
        int bytes = 0;
        for (Observed next : observed) {
            boolean old = now.monotonicMillis() - next.observedMillis() >= PartitionOwner.COMPACT_AGE_MILLIS;
            boolean full =
                    chosen.size() == MAX_VALUES || (!chosen.isEmpty() && bytes + next.bytes() > MAX_SNAPSHOT_BYTES);
            if (!old || full || next.sequence() >= endSequence) {
                return worthwhile(chosen, full, now);
            }
            chosen.add(next);
            bytes += next.bytes();
        }
        return worthwhile(chosen, false, now);
    }

    private boolean worthwhile(List<Observed> chosen, boolean full, ClaimTime now) {
        if (chosen.isEmpty()) {
            return false;
        }
        long age = now.monotonicMillis() - chosen.get(0).observedMillis();
        if (!full && age < MAX_LOG_AGE_MILLIS) {
            return false;
        }
        range = chosen;
        return true;
    }

    private void headRead(PlatformReply.HeadRead read) {
        if (read.head().floorSequence() != range.get(0).sequence()) {
            state = State.IDLE;
            return;
        }
        headVersion = read.version();
        before = read.head();
        state = State.READ_LOG;
    }

    private void logRead(PlatformReply.LogRead read) {
        if (read.batches().stream().anyMatch(Optional::isEmpty)) {
            state = State.IDLE;
            return;
        }
        List<ClaimBatch> batches = read.batches().stream().map(Optional::get).toList();
        long first = range.get(0).sequence();
        long last = range.get(range.size() - 1).sequence();
        long maxWindow = range.stream().mapToLong(Observed::maxWindow).max().orElseThrow();
        snapshots++;
        String key = "claims/" + partition + "/snapshot/" + first + "-" + last + "-" + keyPrefix + "-" + snapshots;
        value = new SegmentValue(first, batches);
        segment = new PartitionHead.Segment(key, first, last, maxWindow);
        after = before.append(segment, oldestWindow);
        state = State.CREATE;
    }

    private void swapResolved(PlatformReply.HeadRead read) {
        boolean swapped = read.head().contains(segment.key());
        if (swapped) {
            state = State.DELETE;
        } else {
            // While the version is unchanged the first call may still take effect, so the same swap is made again.
            state = read.version() == headVersion ? State.SWAP : State.IDLE;
        }
    }

    private List<Long> sequences() {
        return range.stream().map(Observed::sequence).toList();
    }
}
