package org.cowslipbank.decision.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Moves log values of a partition to snapshot segments and deletes segments whose windows are no longer retained.
 *
 * <p>No value is lost because of the order of the writes: the segment is created, the head is swapped for one that
 * names it, and only then are the log values deleted. A node that finds a log value missing and reads the head
 * afterwards finds the segment.
 */
final class Compaction {
    private static final int MAX_VALUES_PER_SEGMENT = 256;
    private static final int MAX_SEGMENT_BYTES = 600_000;
    private static final long MAX_VALUE_AGE_MILLIS = 600_000;
    // The clocks of two nodes may differ by this many windows before one node's floor refuses a key that the other node
    // still accepts.
    private static final int CLOCK_SKEW_WINDOWS = 2;

    private enum State {
        IDLE,
        READ_HEAD,
        READ_LOG,
        CREATE,
        SWAP,
        READ_SWAPPED_HEAD,
        DELETE
    }

    private record AppliedValue(long sequence, long appliedMillis, int bytes, long maxWindow) {}

    private final int partition;
    private final ClaimWindows windows;
    private final String keyPrefix;
    private final Deque<AppliedValue> appliedValues = new ArrayDeque<>();

    private State state = State.IDLE;
    private long segmentCount;
    private List<AppliedValue> range = List.of();
    private long headVersion;
    private PartitionHead oldHead = PartitionHead.EMPTY;
    private PartitionHead newHead = PartitionHead.EMPTY;
    private PartitionHead.Segment segment;
    private SegmentValue segmentValue;
    private long oldestWindow;

    Compaction(int partition, ClaimWindows windows, String keyPrefix) {
        this.partition = partition;
        this.windows = windows;
        this.keyPrefix = keyPrefix;
    }

    void reset() {
        appliedValues.clear();
        state = State.IDLE;
    }

    void onApplied(long sequence, ClaimBatch batch, ClaimTime now) {
        appliedValues.add(new AppliedValue(sequence, now.monotonicMillis(), batch.estimateBytes(), batch.maxWindow()));
    }

    Optional<PlatformCall> nextCall(PartitionHead head, long endSequence, ClaimTime now) {
        oldestWindow = windows.current(now.wallMillis()) - windows.retentionWindows() - CLOCK_SKEW_WINDOWS;
        if (state == State.IDLE && !chooseRange(head, endSequence, now)) {
            return Optional.empty();
        }
        if (state == State.IDLE) {
            state = State.READ_HEAD;
        }
        return Optional.of(currentCall());
    }

    private PlatformCall currentCall() {
        return switch (state) {
            case IDLE, READ_HEAD, READ_SWAPPED_HEAD -> new PlatformCall.ReadHead();
            case READ_LOG -> new PlatformCall.ReadLog(rangeSequences());
            case CREATE -> new PlatformCall.CreateSegment(segment.key(), segmentValue);
            case SWAP -> new PlatformCall.SwapHead(headVersion, newHead);
            case DELETE -> new PlatformCall.Delete(rangeSequences(), oldHead.segmentKeysMissingIn(newHead));
        };
    }

    // Returns the new head once it has been written.
    Optional<PartitionHead> handleReply(PlatformReply reply) {
        if (reply instanceof PlatformReply.Failed) {
            handleFailure();
            return Optional.empty();
        }
        switch (state) {
            case READ_HEAD -> handleHead((PlatformReply.HeadRead) reply);
            case READ_LOG -> handleLog((PlatformReply.LogRead) reply);
            case CREATE -> advanceAfterWrite(reply, State.SWAP, State.IDLE);
            case SWAP -> advanceAfterWrite(reply, State.DELETE, State.READ_SWAPPED_HEAD);
            case READ_SWAPPED_HEAD -> handleSwappedHead((PlatformReply.HeadRead) reply);
            case DELETE -> advanceAfterWrite(reply, State.IDLE, State.IDLE);
            default -> throw new IllegalStateException(
                    "compaction of claims partition " + partition + ": reply received while no call was open");
        }
        return state == State.DELETE ? Optional.of(newHead) : Optional.empty();
    }

    private void advanceAfterWrite(PlatformReply reply, State ifApplied, State ifNotApplied) {
        state = ((PlatformReply.Written) reply).applied() ? ifApplied : ifNotApplied;
    }

    private void handleFailure() {
        // Only a swap with an unknown outcome must be resolved; every other step can be abandoned and started anew.
        state = state == State.SWAP || state == State.READ_SWAPPED_HEAD ? State.READ_SWAPPED_HEAD : State.IDLE;
    }

    private boolean chooseRange(PartitionHead head, long endSequence, ClaimTime now) {
        while (!appliedValues.isEmpty() && appliedValues.peekFirst().sequence() < head.floorSequence()) {
            appliedValues.removeFirst();
        }
        if (appliedValues.isEmpty() || appliedValues.peekFirst().sequence() != head.floorSequence()) {
            return false;
        }
        List<AppliedValue> chosen = new ArrayList<>();
        int bytes = 0;
        for (AppliedValue next : appliedValues) {
            boolean oldEnough =
                    now.monotonicMillis() - next.appliedMillis() >= PartitionOwner.MIN_COMPACTION_AGE_MILLIS;
            boolean full = chosen.size() == MAX_VALUES_PER_SEGMENT
                    || (!chosen.isEmpty() && bytes + next.bytes() > MAX_SEGMENT_BYTES);
            if (!oldEnough || full || next.sequence() >= endSequence) {
                return selectIfWorthwhile(chosen, full, now);
            }
            chosen.add(next);
            bytes += next.bytes();
        }
        return selectIfWorthwhile(chosen, false, now);
    }

    private boolean selectIfWorthwhile(List<AppliedValue> chosen, boolean full, ClaimTime now) {
        if (chosen.isEmpty()) {
            return false;
        }
        long age = now.monotonicMillis() - chosen.get(0).appliedMillis();
        if (!full && age < MAX_VALUE_AGE_MILLIS) {
            return false;
        }
        range = chosen;
        return true;
    }

    private void handleHead(PlatformReply.HeadRead read) {
        if (read.head().floorSequence() != range.get(0).sequence()) {
            state = State.IDLE;
            return;
        }
        headVersion = read.version();
        oldHead = read.head();
        state = State.READ_LOG;
    }

    private void handleLog(PlatformReply.LogRead read) {
        if (read.batches().stream().anyMatch(Optional::isEmpty)) {
            state = State.IDLE;
            return;
        }
        List<ClaimBatch> batches = read.batches().stream().map(Optional::get).toList();
        long first = range.get(0).sequence();
        long last = range.get(range.size() - 1).sequence();
        long maxWindow = range.stream().mapToLong(AppliedValue::maxWindow).max().orElseThrow();
        segmentCount++;
        String key = "claims/" + partition + "/snapshot/" + first + "-" + last + "-" + keyPrefix + "-" + segmentCount;
        segmentValue = new SegmentValue(first, batches);
        segment = new PartitionHead.Segment(key, first, last, maxWindow);
        newHead = oldHead.append(segment, oldestWindow);
        state = State.CREATE;
    }

    private void handleSwappedHead(PlatformReply.HeadRead read) {
        boolean swapped = read.head().contains(segment.key());
        if (swapped) {
            state = State.DELETE;
        } else {
            // While the version is unchanged the first swap may still take effect, so the same swap is sent again.
            state = read.version() == headVersion ? State.SWAP : State.IDLE;
        }
    }

    private List<Long> rangeSequences() {
        return range.stream().map(AppliedValue::sequence).toList();
    }
}
