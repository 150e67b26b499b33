package org.cowslipbank.decision.claims;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.cowslipbank.decision.claims.ClaimOutcome.Kind;

/**
 * State machine of a node that works on one partition of the claims, whether it owns the partition or only believes so.
 *
 * <p>Requests, replies of the key-value service and ticks go in; effects come out. At most one call of the service is
 * open. The machine is used by one thread.
 *
 * <p>Three rules carry the guarantee. A claim is granted only after the log value with its token has been seen to exist
 * as the next one after a contiguous prefix. A proposed value whose outcome is unknown is proposed again under the same
 * sequence, or found there, before anything else is proposed. Evidence that a sequence was free counts only if the
 * log's end was confirmed a short time before, or if the head read afterwards shows that the sequence has not been
 * moved to a snapshot; otherwise a deleted log value could be created a second time.
 */
public final class PartitionOwner {
    /** Age from which a log value may be moved to a snapshot and deleted, in milliseconds. */
    static final long COMPACT_AGE_MILLIS = 60_000;

    // Half the age at which log values may be deleted: within it, a sequence that was free cannot have been used,
    // moved to a snapshot and deleted.
    private static final long EVIDENCE_MILLIS = COMPACT_AGE_MILLIS / 2;
    private static final long BACKOFF_MILLIS = 100;
    private static final int MAX_BATCH_ENTRIES = 500;
    private static final int MAX_BATCH_BYTES = 400_000;
    private static final int MAX_PENDING = 5_000;
    private static final int LIST_LIMIT = 256;
    private static final int SEGMENTS_PER_READ = 8;

    private enum Phase {
        COLD,
        LOADING,
        READY
    }

    /** What the open call is for. */
    private enum Purpose {
        LOAD_HEAD,
        LOAD_SEGMENTS,
        LIST,
        READ,
        CONFIRM_END,
        PROPOSE,
        RESOLVE,
        CONFIRM_PROPOSAL,
        FIND_ANSWER_HEAD,
        FIND_ANSWER,
        COMPACT
    }

    private record Waiting(long requestId, PartitionRequest request, long arrivedMillis) {}

    private record Proposal(long sequence, ClaimBatch batch, List<Waiting> waiters, boolean uncertain) {
        Proposal withUncertainty() {
            return new Proposal(sequence, batch, waiters, true);
        }
    }

    private record AnswerRead(long requestId, ClaimKey key, long sequence) {}

    private final ClaimSettings settings;
    private final String batchIdPrefix;
    private final Compaction compaction;
    private final Map<Long, Waiting> pending = new LinkedHashMap<>();
    private final List<AnswerRead> answerReads = new ArrayList<>();
    private final List<PartitionEffect> effects = new ArrayList<>();

    private Phase phase = Phase.COLD;
    private ClaimIndex index = new ClaimIndex();
    private PartitionHead head = PartitionHead.EMPTY;
    private long endSequence = 1;
    private String lastBatchId = "";
    private long unconfirmedFrom = 1;
    private boolean endConfirmed;
    private long endConfirmedMillis;
    private long highestTried;
    private long batches;
    private int segmentsLoaded;
    private List<Long> listed = List.of();
    private Proposal proposal;
    private Purpose purpose;
    private long calledMillis;
    private long evidenceMillis;
    private long notBeforeMillis = Long.MIN_VALUE;
    private long lastBatchMillis = Long.MIN_VALUE / 2;
    private boolean owner;
    private long ownerSinceMillis;
    private boolean fleetAsked;
    private long fleetAskedMillis;

    /**
     * Creates a machine that has read nothing yet.
     *
     * @param partition the partition
     * @param settings settings of the claims
     * @param batchIdPrefix text that no other machine uses, such as the node's name with a number drawn at its start
     */
    public PartitionOwner(int partition, ClaimSettings settings, String batchIdPrefix) {
        this.settings = settings;
        this.batchIdPrefix = batchIdPrefix;
        this.compaction = new Compaction(partition, settings.windows(), batchIdPrefix);
    }

    /**
     * Tells the machine whether its node owns the partition now. An owner loads the log before the first request and
     * keeps confirming its end.
     *
     * @param owns true if the node owns the partition
     * @param now the time
     * @return effects
     */
    public List<PartitionEffect> owns(boolean owns, ClaimTime now) {
        if (owns && !owner) {
            ownerSinceMillis = now.monotonicMillis();
        }
        owner = owns;
        return advance(now);
    }

    /**
     * Tells the machine that its node was paused. What it knows about the log's end no longer counts.
     *
     * @param now the time
     */
    public void paused(ClaimTime now) {
        endConfirmed = false;
        ownerSinceMillis = now.monotonicMillis();
    }

    /**
     * Hands in a request.
     *
     * @param requestId number under which the answer is given
     * @param request the request
     * @param now the time
     * @return effects
     */
    public List<PartitionEffect> submit(long requestId, PartitionRequest request, ClaimTime now) {
        Waiting waiting = new Waiting(requestId, request, now.monotonicMillis());
        if (request instanceof PartitionRequest.Claim && !isWindowAccepted(request.key(), now)) {
            answer(requestId, Kind.EXPIRED);
        } else if (pending.size() >= MAX_PENDING) {
            answer(requestId, Kind.OUTCOME_UNKNOWN);
        } else {
            pending.put(requestId, waiting);
        }
        return advance(now);
    }

    /**
     * Withdraws a request whose caller no longer waits. A request that is already in a proposed value stays there.
     *
     * @param requestId the request's number
     */
    public void withdraw(long requestId) {
        pending.remove(requestId);
    }

    /**
     * Lets time pass.
     *
     * @param now the time
     * @return effects
     */
    public List<PartitionEffect> tick(ClaimTime now) {
        return advance(now);
    }

    /**
     * Returns the highest sequence that this node has seen or tried to write. Other nodes ask for it while the
     * key-value service cannot be reached.
     *
     * @return the sequence
     */
    public long highestSequence() {
        return Math.max(highestTried, endSequence - 1);
    }

    /**
     * Tells whether the machine has nothing to do, so that a node that does not own the partition may discard it.
     *
     * @return true if no request waits and no value is proposed
     */
    public boolean isIdle() {
        return pending.isEmpty() && answerReads.isEmpty() && proposal == null;
    }

    /**
     * Hands in the answer of the other nodes to {@link PartitionEffect.AskFleet}.
     *
     * @param highest the highest sequence that any other node has seen or tried to write, empty unless all answered
     * @param now the time
     * @return effects
     */
    public List<PartitionEffect> fleetAnswered(OptionalLong highest, ClaimTime now) {
        fleetAsked = false;
        boolean othersWroteNothing = highest.isPresent() && highest.getAsLong() < endSequence;
        boolean current = owner && phase == Phase.READY && endConfirmed && endConfirmedMillis >= ownerSinceMillis;
        for (Waiting waiting : List.copyOf(pending.values())) {
            boolean outOfPatience = now.monotonicMillis() - waiting.arrivedMillis() >= settings.patienceMillis();
            if (!outOfPatience || waiting.arrivedMillis() > fleetAskedMillis) {
                continue;
            }
            pending.remove(waiting.requestId());
            giveUp(waiting, current && othersWroteNothing, now);
        }
        return advance(now);
    }

    /**
     * Hands in the reply to the open call.
     *
     * @param reply the reply
     * @param now the time
     * @return effects
     */
    public List<PartitionEffect> replied(PlatformReply reply, ClaimTime now) {
        Purpose answered = purpose;
        purpose = null;
        if (answered == Purpose.COMPACT) {
            compacted(reply, now);
        } else if (reply instanceof PlatformReply.Failed failed) {
            failed(answered, failed, now);
        } else {
            succeeded(answered, reply, now);
        }
        return advance(now);
    }

    private void succeeded(Purpose answered, PlatformReply reply, ClaimTime now) {
        switch (answered) {
            case LOAD_HEAD -> startLoading(((PlatformReply.HeadRead) reply).head());
            case LOAD_SEGMENTS -> loadSegments(((PlatformReply.SegmentsRead) reply).segments());
            case LIST -> listed(((PlatformReply.LogListed) reply).sequences(), now);
            case READ -> readLog(((PlatformReply.LogRead) reply).batches(), now);
            case CONFIRM_END -> confirmEnd(((PlatformReply.HeadRead) reply).head());
            case PROPOSE -> proposed(((PlatformReply.Written) reply).done(), now);
            case RESOLVE -> resolved(((PlatformReply.LogRead) reply).batches().get(0), now);
            case CONFIRM_PROPOSAL -> confirmProposal(((PlatformReply.HeadRead) reply).head(), now);
            case FIND_ANSWER_HEAD -> adoptHead(((PlatformReply.HeadRead) reply).head());
            case FIND_ANSWER -> answerFound(reply);
            default -> throw new IllegalStateException(answered + " is handled before");
        }
    }

    private void failed(Purpose answered, PlatformReply.Failed failed, ClaimTime now) {
        notBeforeMillis = now.monotonicMillis() + BACKOFF_MILLIS;
        if (phase == Phase.LOADING) {
            phase = Phase.COLD;
        }
        if (answered == Purpose.PROPOSE && !failed.certainlyNotDone()) {
            proposal = proposal.withUncertainty();
        } else if (answered == Purpose.PROPOSE && !proposal.uncertain()) {
            withdrawProposal();
        }
        if (answered == Purpose.FIND_ANSWER || answered == Purpose.FIND_ANSWER_HEAD) {
            answer(answerReads.remove(0).requestId(), Kind.OUTCOME_UNKNOWN);
        }
    }

    private List<PartitionEffect> advance(ClaimTime now) {
        if (purpose == null && now.monotonicMillis() >= notBeforeMillis) {
            next(now);
        }
        askFleetIfNeeded(now);
        List<PartitionEffect> out = List.copyOf(effects);
        effects.clear();
        return out;
    }

    private void next(ClaimTime now) {
        if (phase == Phase.COLD) {
            if (owner || !isIdle()) {
                call(Purpose.LOAD_HEAD, new PlatformCall.ReadHead(), now);
            }
            return;
        }
        if (phase == Phase.LOADING) {
            nextWhileLoading(now);
            return;
        }
        if (proposal != null) {
            call(Purpose.RESOLVE, new PlatformCall.ReadLog(List.of(proposal.sequence())), now);
            return;
        }
        if (!answerReads.isEmpty()) {
            readAnswer(now);
            return;
        }
        if (now.monotonicMillis() - lastBatchMillis >= settings.batchMillis() && !pending.isEmpty()) {
            workOnPending(now);
        }
        if (purpose == null && answerReads.isEmpty()) {
            nextWhileIdle(now);
        }
    }

    private void nextWhileLoading(ClaimTime now) {
        List<PartitionHead.Segment> segments = head.segments();
        if (segmentsLoaded < segments.size()) {
            int end = Math.min(segments.size(), segmentsLoaded + SEGMENTS_PER_READ);
            List<String> keys = segments.subList(segmentsLoaded, end).stream()
                    .map(PartitionHead.Segment::key)
                    .toList();
            call(Purpose.LOAD_SEGMENTS, new PlatformCall.ReadSegments(keys), now);
            return;
        }
        listEnd(now);
    }

    private void nextWhileIdle(ClaimTime now) {
        long confirmedAgo = now.monotonicMillis() - endConfirmedMillis;
        if (owner && (!endConfirmed || confirmedAgo >= settings.idleSyncMillis())) {
            listEnd(now);
            return;
        }
        if (owner) {
            compaction.next(head, endSequence, now).ifPresent(platformCall -> call(Purpose.COMPACT, platformCall, now));
        }
    }

    private void listEnd(ClaimTime now) {
        call(Purpose.LIST, new PlatformCall.ListLog(endSequence, LIST_LIMIT), now);
    }

    private void call(Purpose why, PlatformCall platformCall, ClaimTime now) {
        purpose = why;
        calledMillis = now.monotonicMillis();
        effects.add(new PartitionEffect.Call(platformCall));
    }

    // Loading.

    private void startLoading(PartitionHead read) {
        phase = Phase.LOADING;
        index = new ClaimIndex();
        head = read;
        endSequence = read.floorSequence();
        unconfirmedFrom = endSequence;
        lastBatchId = read.floorSequence() == 1 ? "" : null;
        endConfirmed = false;
        segmentsLoaded = 0;
        compaction.restart();
    }

    private void loadSegments(List<Optional<SegmentValue>> read) {
        for (Optional<SegmentValue> segment : read) {
            if (segment.isEmpty()) {
                // Another node has replaced the head since it was read.
                phase = Phase.COLD;
                return;
            }
            long sequence = segment.get().firstSequence();
            for (ClaimBatch batch : segment.get().batches()) {
                index.apply(sequence++, batch);
                lastBatchId = batch.batchId();
            }
        }
        segmentsLoaded += read.size();
        if (segmentsLoaded == head.segments().size()) {
            index.dropBefore(head.floorWindow());
        }
    }

    // Following the log's end.

    private void listed(List<Long> sequences, ClaimTime now) {
        if (sequences.isEmpty()) {
            evidenceMillis = calledMillis;
            if (isEvidenceRecent(now)) {
                endIsConfirmed();
            } else {
                call(Purpose.CONFIRM_END, new PlatformCall.ReadHead(), now);
            }
            return;
        }
        if (sequences.get(0) != endSequence) {
            phase = Phase.COLD;
            return;
        }
        listed = sequences;
        call(Purpose.READ, new PlatformCall.ReadLog(sequences), now);
    }

    private void readLog(List<Optional<ClaimBatch>> read, ClaimTime now) {
        for (int i = 0; i < read.size(); i++) {
            if (read.get(i).isEmpty()
                    || listed.get(i) != endSequence
                    || !isNext(read.get(i).get())) {
                phase = Phase.COLD;
                return;
            }
            apply(read.get(i).get(), now);
        }
        listEnd(now);
    }

    private boolean isNext(ClaimBatch batch) {
        return lastBatchId == null || lastBatchId.equals(batch.previousBatchId());
    }

    // If the last value read is still in the log, the chain of identifiers proves those before it. If it is not, what
    // was read may have been created again after it was moved to a snapshot.
    private void confirmEnd(PartitionHead read) {
        if (read.floorSequence() > unconfirmedFrom && read.floorSequence() >= endSequence) {
            phase = Phase.COLD;
            return;
        }
        adoptHead(read);
        endIsConfirmed();
    }

    private void endIsConfirmed() {
        phase = Phase.READY;
        unconfirmedFrom = endSequence;
        endConfirmed = true;
        endConfirmedMillis = evidenceMillis;
    }

    private boolean isEvidenceRecent(ClaimTime now) {
        return endConfirmed && now.monotonicMillis() - endConfirmedMillis <= EVIDENCE_MILLIS;
    }

    private void apply(ClaimBatch batch, ClaimTime now) {
        index.apply(endSequence, batch);
        compaction.observed(endSequence, batch, now);
        lastBatchId = batch.batchId();
        endSequence++;
    }

    private void adoptHead(PartitionHead read) {
        if (read.floorSequence() < head.floorSequence()) {
            return;
        }
        head = read;
        index.dropBefore(read.floorWindow());
    }

    // Proposing.

    private void workOnPending(ClaimTime now) {
        if (!isEvidenceRecent(now)) {
            listEnd(now);
            return;
        }
        List<Waiting> chosen = new ArrayList<>();
        List<LogEntry> entries = new ArrayList<>();
        Set<ClaimKey> keys = new HashSet<>();
        boolean needsSync = false;
        int bytes = 0;
        for (Waiting waiting : List.copyOf(pending.values())) {
            if (entries.size() >= MAX_BATCH_ENTRIES || bytes >= MAX_BATCH_BYTES) {
                break;
            }
            if (!needsRecord(waiting, now)) {
                needsSync |= pending.containsKey(waiting.requestId());
                continue;
            }
            if (keys.add(waiting.request().key())) {
                LogEntry entry = LogEntry.of(waiting.request(), now.wallMillis());
                bytes += entry.estimateBytes();
                entries.add(entry);
                chosen.add(waiting);
            }
        }
        if (!entries.isEmpty()) {
            chosen.forEach(waiting -> pending.remove(waiting.requestId()));
            // The sequence was free when it was first proposed; that instant, not a later attempt, is the evidence.
            evidenceMillis = now.monotonicMillis();
            propose(
                    new Proposal(
                            endSequence,
                            new ClaimBatch(nextBatchId(), lastBatchId == null ? "" : lastBatchId, entries),
                            chosen,
                            false),
                    now);
        } else if (needsSync) {
            listEnd(now);
        }
    }

    private void propose(Proposal next, ClaimTime now) {
        proposal = next;
        highestTried = Math.max(highestTried, next.sequence());
        lastBatchMillis = now.monotonicMillis();
        call(Purpose.PROPOSE, new PlatformCall.CreateLog(next.sequence(), next.batch()), now);
    }

    private void proposed(boolean created, ClaimTime now) {
        if (created) {
            settleProposal(now);
            return;
        }
        // Either another writer was first, or an earlier call of this proposal took effect and its response was lost.
        call(Purpose.RESOLVE, new PlatformCall.ReadLog(List.of(proposal.sequence())), now);
    }

    private void resolved(Optional<ClaimBatch> found, ClaimTime now) {
        if (found.isEmpty()) {
            propose(proposal, now);
            return;
        }
        if (found.get().batchId().equals(proposal.batch().batchId())) {
            settleProposal(now);
            return;
        }
        withdrawProposal();
        listEnd(now);
    }

    private void settleProposal(ClaimTime now) {
        if (isEvidenceRecent(now)) {
            proposalIsRecorded(now);
        } else {
            call(Purpose.CONFIRM_PROPOSAL, new PlatformCall.ReadHead(), now);
        }
    }

    private void confirmProposal(PartitionHead read, ClaimTime now) {
        if (read.floorSequence() > proposal.sequence()) {
            // The sequence may have been used and deleted before; the snapshots tell what was recorded.
            withdrawProposal();
            phase = Phase.COLD;
            return;
        }
        adoptHead(read);
        proposalIsRecorded(now);
    }

    private void proposalIsRecorded(ClaimTime now) {
        Proposal recorded = proposal;
        proposal = null;
        apply(recorded.batch(), now);
        unconfirmedFrom = endSequence;
        endConfirmed = true;
        endConfirmedMillis = Math.max(endConfirmedMillis, evidenceMillis);
        for (Waiting waiting : recorded.waiters()) {
            if (waiting.request() instanceof PartitionRequest.Claim) {
                ClaimIndex.State state = index.find(waiting.request().key());
                boolean granted = ClaimIndex.isOpen(state, waiting.request().token());
                answer(waiting.requestId(), granted ? Kind.GRANTED : Kind.OUTCOME_UNKNOWN);
            } else {
                answer(waiting.requestId(), Kind.RECORDED);
            }
        }
    }

    private void withdrawProposal() {
        Proposal withdrawn = proposal;
        proposal = null;
        withdrawn.waiters().forEach(waiting -> pending.put(waiting.requestId(), waiting));
    }

    private String nextBatchId() {
        batches++;
        return batchIdPrefix + "-" + batches;
    }

    // Answering.

    // Returns true if the request must be added to the log. Otherwise it has been answered, or stays pending until the
    // log's end has been read after its arrival.
    private boolean needsRecord(Waiting waiting, ClaimTime now) {
        ClaimIndex.State state = index.find(waiting.request().key());
        if (waiting.request() instanceof PartitionRequest.Claim claim) {
            return needsClaim(waiting, claim, state, now);
        }
        if (ClaimIndex.isOpen(state, waiting.request().token())) {
            return true;
        }
        if (isConfirmedSince(waiting)) {
            finish(waiting, Kind.RECORDED);
        }
        return false;
    }

    private boolean needsClaim(Waiting waiting, PartitionRequest.Claim claim, ClaimIndex.State state, ClaimTime now) {
        switch (lookup(claim, state, now)) {
            case RECORD -> {
                return true;
            }
            case GRANTED -> finish(waiting, Kind.GRANTED);
            case EXPIRED -> finish(waiting, Kind.EXPIRED);
            case MISMATCH -> finish(waiting, Kind.MISMATCH);
            case FINISHED -> {
                pending.remove(waiting.requestId());
                answerReads.add(new AnswerRead(waiting.requestId(), claim.key(), state.finishedSequence()));
            }
            case IN_PROGRESS -> finishIfConfirmed(waiting, Kind.IN_PROGRESS);
            default -> finishIfConfirmed(waiting, Kind.OUTCOME_UNKNOWN);
        }
        return false;
    }

    private ClaimLookup.Outcome lookup(PartitionRequest.Claim claim, ClaimIndex.State state, ClaimTime now) {
        boolean accepted = isWindowAccepted(claim.key(), now);
        if (state == null) {
            return ClaimLookup.decide(new ClaimLookup.Input(accepted, ClaimLookup.Recorded.NONE, false, false, 0, 0));
        }
        return ClaimLookup.decide(new ClaimLookup.Input(
                accepted,
                state.finishedSequence() > 0 ? ClaimLookup.Recorded.FINISHED : ClaimLookup.Recorded.CLAIMED,
                state.fingerprint().equals(claim.fingerprint()),
                state.token().equals(claim.token()),
                now.wallMillis() - state.claimedWallMillis(),
                settings.inProgressMillis()));
    }

    private boolean isWindowAccepted(ClaimKey key, ClaimTime now) {
        return key.window() >= head.floorWindow() && settings.windows().isAccepted(key.window(), now.wallMillis());
    }

    private boolean isConfirmedSince(Waiting waiting) {
        return endConfirmed && endConfirmedMillis >= waiting.arrivedMillis();
    }

    private void finishIfConfirmed(Waiting waiting, Kind kind) {
        if (isConfirmedSince(waiting)) {
            finish(waiting, kind);
        }
    }

    private void finish(Waiting waiting, Kind kind) {
        pending.remove(waiting.requestId());
        answer(waiting.requestId(), kind);
    }

    private void answer(long requestId, Kind kind) {
        effects.add(new PartitionEffect.Answer(requestId, ClaimOutcome.of(kind)));
    }

    // Refusing while the key-value service cannot be reached.

    private void askFleetIfNeeded(ClaimTime now) {
        if (fleetAsked) {
            return;
        }
        boolean outOfPatience = pending.values().stream()
                .anyMatch(waiting -> now.monotonicMillis() - waiting.arrivedMillis() >= settings.patienceMillis());
        if (outOfPatience) {
            fleetAsked = true;
            fleetAskedMillis = now.monotonicMillis();
            effects.add(new PartitionEffect.AskFleet(confirmedAgeMillis(now)));
        }
    }

    private long confirmedAgeMillis(ClaimTime now) {
        return endConfirmed ? now.monotonicMillis() - endConfirmedMillis : Long.MAX_VALUE;
    }

    private void giveUp(Waiting waiting, boolean logIsComplete, ClaimTime now) {
        if (!(waiting.request() instanceof PartitionRequest.Claim claim)) {
            answer(waiting.requestId(), Kind.OUTCOME_UNKNOWN);
            return;
        }
        ClaimIndex.State state = phase == Phase.READY ? index.find(claim.key()) : null;
        if (state == null) {
            boolean notRun = logIsComplete && !isProposed(claim.key());
            answer(waiting.requestId(), notRun ? Kind.REFUSED : Kind.OUTCOME_UNKNOWN);
            return;
        }
        boolean sameRequest = state.fingerprint().equals(claim.fingerprint());
        boolean inProgress = lookup(claim, state, now) == ClaimLookup.Outcome.IN_PROGRESS;
        answer(waiting.requestId(), sameRequest && inProgress ? Kind.IN_PROGRESS : Kind.OUTCOME_UNKNOWN);
    }

    private boolean isProposed(ClaimKey key) {
        return proposal != null
                && proposal.batch().entries().stream()
                        .anyMatch(entry -> entry.key().equals(key));
    }

    // Reading stored answers.

    private void readAnswer(ClaimTime now) {
        long sequence = answerReads.get(0).sequence();
        if (sequence >= head.floorSequence()) {
            call(Purpose.FIND_ANSWER, new PlatformCall.ReadLog(List.of(sequence)), now);
            return;
        }
        Optional<PartitionHead.Segment> segment = segmentOf(sequence);
        if (segment.isEmpty()) {
            answer(answerReads.remove(0).requestId(), Kind.EXPIRED);
            return;
        }
        call(
                Purpose.FIND_ANSWER,
                new PlatformCall.ReadSegments(List.of(segment.get().key())),
                now);
    }

    private Optional<PartitionHead.Segment> segmentOf(long sequence) {
        return head.segments().stream()
                .filter(segment -> segment.firstSequence() <= sequence && sequence <= segment.lastSequence())
                .findFirst();
    }

    private void answerFound(PlatformReply reply) {
        AnswerRead read = answerReads.get(0);
        Optional<ClaimBatch> batch = reply instanceof PlatformReply.LogRead log
                ? log.batches().get(0)
                : ((PlatformReply.SegmentsRead) reply).segments().get(0).map(segment -> segment.batches()
                        .get((int) (read.sequence() - segment.firstSequence())));
        if (batch.isEmpty()) {
            // Another node has moved the value since the head was read.
            purpose = Purpose.FIND_ANSWER_HEAD;
            effects.add(new PartitionEffect.Call(new PlatformCall.ReadHead()));
            return;
        }
        answerReads.remove(0);
        StoredAnswer stored = batch.get().entries().stream()
                .filter(entry ->
                        entry.kind() == LogEntry.Kind.FINISHED && entry.key().equals(read.key()))
                .findFirst()
                .orElseThrow()
                .answer();
        effects.add(new PartitionEffect.Answer(read.requestId(), ClaimOutcome.finished(stored)));
    }

    // Compaction.

    private void compacted(PlatformReply reply, ClaimTime now) {
        if (reply instanceof PlatformReply.Failed) {
            notBeforeMillis = now.monotonicMillis() + BACKOFF_MILLIS;
        }
        compaction.replied(reply).ifPresent(this::adoptHead);
    }
}
