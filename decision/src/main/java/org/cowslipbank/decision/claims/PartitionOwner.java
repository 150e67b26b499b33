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
 * State machine with which a node records claims in one partition, whether it owns the partition or wrongly believes
 * that it does.
 *
 * <p>Its input is requests, replies of the key-value service and ticks; its output is effects. At most one call to the
 * service is open at a time. Not thread-safe.
 *
 * <p>Three rules prevent a second run of a request. A claim is granted only once the log value with its token is known
 * to exist directly after a contiguous prefix of the log that this node has read. A proposed value with an unknown
 * outcome is proposed again under the same sequence, or found there, before anything else is proposed. The observation
 * that a sequence was free is valid only if the log's end was confirmed shortly before, or if the head, read
 * afterwards, shows that the sequence has not been moved to a snapshot; otherwise a deleted log value could be created
 * a second time.
 */
public final class PartitionOwner {
    /** Minimum age of a log value that is moved to a snapshot and deleted, in milliseconds. */
    static final long MIN_COMPACTION_AGE_MILLIS = 60_000;

    // Half the compaction age: within this time, a sequence that was seen free cannot have been written, compacted and
    // deleted.
    private static final long END_VALID_MILLIS = MIN_COMPACTION_AGE_MILLIS / 2;
    private static final long CALL_BACKOFF_MILLIS = 100;
    private static final int MAX_BATCH_ENTRIES = 500;
    private static final int MAX_BATCH_BYTES = 400_000;
    private static final int MAX_PENDING_REQUESTS = 5_000;
    private static final int LIST_PAGE_SIZE = 256;
    private static final int SEGMENTS_PER_READ = 8;

    private enum Phase {
        NOT_LOADED,
        LOADING,
        READY
    }

    /** Purpose of the open call to the key-value service. */
    private enum Purpose {
        LOAD_HEAD,
        LOAD_SEGMENTS,
        LIST_LOG,
        READ_LOG,
        CONFIRM_END,
        PROPOSE,
        READ_PROPOSAL,
        CONFIRM_PROPOSAL_HEAD,
        READ_ANSWER_HEAD,
        READ_ANSWER,
        COMPACT
    }

    private record PendingRequest(long requestId, PartitionRequest request, long arrivedMillis) {}

    private record Proposal(long sequence, ClaimBatch batch, List<PendingRequest> requests, boolean outcomeUnknown) {
        Proposal withUnknownOutcome() {
            return new Proposal(sequence, batch, requests, true);
        }
    }

    private record AnswerRead(long requestId, ClaimKey key, long sequence) {}

    private final ClaimSettings settings;
    private final String batchIdPrefix;
    private final Compaction compaction;
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private final List<AnswerRead> answerReads = new ArrayList<>();
    private final List<PartitionEffect> effects = new ArrayList<>();

    private Phase phase = Phase.NOT_LOADED;
    private ClaimIndex index = new ClaimIndex();
    private PartitionHead head = PartitionHead.EMPTY;
    // The first sequence that has not been applied to the index.
    private long endSequence = 1;
    // Null if the value before endSequence has not been read.
    private String lastBatchId = "";
    // The first sequence that was applied after the last confirmation of the log's end.
    private long firstUnconfirmedSequence = 1;
    private boolean endConfirmed;
    private long endConfirmedMillis;
    private long highestProposedSequence;
    private long batchCount;
    private int segmentsLoaded;
    private List<Long> listedSequences = List.of();
    private Proposal proposal;
    private Purpose openCallPurpose;
    private long callStartedMillis;
    private long endObservedMillis;
    private long backoffUntilMillis = Long.MIN_VALUE;
    private long lastProposedMillis = Long.MIN_VALUE / 2;
    private boolean ownsPartition;
    private long ownedSinceMillis;
    private boolean fleetQueryOpen;
    private long fleetQueryMillis;

    /**
     * Creates a state machine that has not read the log yet.
     *
     * @param partition number of the partition, from zero
     * @param settings claim settings of the region
     * @param batchIdPrefix prefix that no other instance uses, such as the node's name with a random number of the
     *     process
     */
    public PartitionOwner(int partition, ClaimSettings settings, String batchIdPrefix) {
        this.settings = settings;
        this.batchIdPrefix = batchIdPrefix;
        this.compaction = new Compaction(partition, settings.windows(), batchIdPrefix);
    }

    /**
     * Sets whether this node owns the partition and lets time pass. An owner loads the log before the first request and
     * regularly confirms the log's end.
     *
     * @param owns true if the node owns the partition
     * @param now the current time
     * @return effects to carry out in order
     */
    public List<PartitionEffect> setOwner(boolean owns, ClaimTime now) {
        if (owns && !ownsPartition) {
            ownedSinceMillis = now.monotonicMillis();
        }
        ownsPartition = owns;
        return advance(now);
    }

    /**
     * Discards the confirmation of the log's end after a pause of the process, during which the log may have grown.
     *
     * @param now the current time
     */
    public void onPause(ClaimTime now) {
        endConfirmed = false;
        ownedSinceMillis = now.monotonicMillis();
    }

    /**
     * Submits a request. It is answered by a later {@link PartitionEffect.Answer} unless it is withdrawn.
     *
     * @param requestId identifier of the request in its answer, unique for this instance
     * @param request the request
     * @param now the current time
     * @return effects to carry out in order
     */
    public List<PartitionEffect> submit(long requestId, PartitionRequest request, ClaimTime now) {
        PendingRequest pendingRequest = new PendingRequest(requestId, request, now.monotonicMillis());
        if (request instanceof PartitionRequest.Claim && !isWindowAccepted(request.key(), now)) {
            answer(requestId, Kind.EXPIRED);
        } else if (pending.size() >= MAX_PENDING_REQUESTS) {
            answer(requestId, Kind.OUTCOME_UNKNOWN);
        } else {
            pending.put(requestId, pendingRequest);
        }
        return advance(now);
    }

    /**
     * Withdraws a request whose caller no longer waits. A request that is already part of a proposed value stays in it.
     *
     * @param requestId identifier under which the request was submitted
     */
    public void withdraw(long requestId) {
        pending.remove(requestId);
    }

    /**
     * Starts whatever is due at the given time.
     *
     * @param now the current time
     * @return effects to carry out in order
     */
    public List<PartitionEffect> tick(ClaimTime now) {
        return advance(now);
    }

    /**
     * Returns the highest sequence that this node has seen or tried to write. Other nodes query it while the key-value
     * service is unreachable.
     *
     * @return the sequence, zero if there is none
     */
    public long highestSequence() {
        return Math.max(highestProposedSequence, endSequence - 1);
    }

    /**
     * Returns whether there is no work left, so that a node that does not own the partition may discard this instance.
     *
     * @return true if no request is pending and no value is proposed
     */
    public boolean isIdle() {
        return pending.isEmpty() && answerReads.isEmpty() && proposal == null;
    }

    /**
     * Processes the combined answer of the other nodes to {@link PartitionEffect.AskFleet} and answers the requests
     * that have timed out.
     *
     * @param highest the highest sequence that any other node has seen or tried to write, empty unless all answered
     * @param now the current time
     * @return effects to carry out in order
     */
    public List<PartitionEffect> onFleetAnswer(OptionalLong highest, ClaimTime now) {
        fleetQueryOpen = false;
        boolean othersWroteNothing = highest.isPresent() && highest.getAsLong() < endSequence;
        boolean logCurrent =
                ownsPartition && phase == Phase.READY && endConfirmed && endConfirmedMillis >= ownedSinceMillis;
        for (PendingRequest pendingRequest : List.copyOf(pending.values())) {
            boolean timedOut = now.monotonicMillis() - pendingRequest.arrivedMillis() >= settings.recordTimeoutMillis();
            if (!timedOut || pendingRequest.arrivedMillis() > fleetQueryMillis) {
                continue;
            }
            pending.remove(pendingRequest.requestId());
            answerTimedOut(pendingRequest, logCurrent && othersWroteNothing, now);
        }
        return advance(now);
    }

    /**
     * Processes the reply to the open call.
     *
     * @param reply the reply
     * @param now the current time
     * @return effects to carry out in order
     */
    public List<PartitionEffect> onReply(PlatformReply reply, ClaimTime now) {
        Purpose repliedPurpose = openCallPurpose;
        openCallPurpose = null;
        if (repliedPurpose == Purpose.COMPACT) {
            handleCompactionReply(reply, now);
        } else if (reply instanceof PlatformReply.Failed failed) {
            handleFailure(repliedPurpose, failed, now);
        } else {
            handleReply(repliedPurpose, reply, now);
        }
        return advance(now);
    }

    private void handleReply(Purpose repliedPurpose, PlatformReply reply, ClaimTime now) {
        switch (repliedPurpose) {
            case LOAD_HEAD -> startLoading(((PlatformReply.HeadRead) reply).head());
            case LOAD_SEGMENTS -> applySegments(((PlatformReply.SegmentsRead) reply).segments());
            case LIST_LOG -> handleListing(((PlatformReply.LogListed) reply).sequences(), now);
            case READ_LOG -> applyLogValues(((PlatformReply.LogRead) reply).batches(), now);
            case CONFIRM_END -> confirmEnd(((PlatformReply.HeadRead) reply).head());
            case PROPOSE -> handleProposalWritten(((PlatformReply.Written) reply).applied(), now);
            case READ_PROPOSAL -> handleProposalRead(
                    ((PlatformReply.LogRead) reply).batches().get(0), now);
            case CONFIRM_PROPOSAL_HEAD -> confirmProposal(((PlatformReply.HeadRead) reply).head(), now);
            case READ_ANSWER_HEAD -> adoptHead(((PlatformReply.HeadRead) reply).head());
            case READ_ANSWER -> handleAnswerRead(reply);
            default -> throw new IllegalStateException("claims partition: unexpected reply to call " + repliedPurpose);
        }
    }

    private void handleFailure(Purpose repliedPurpose, PlatformReply.Failed failed, ClaimTime now) {
        backoffUntilMillis = now.monotonicMillis() + CALL_BACKOFF_MILLIS;
        if (phase == Phase.LOADING) {
            phase = Phase.NOT_LOADED;
        }
        if (repliedPurpose == Purpose.PROPOSE && !failed.certainlyNotApplied()) {
            proposal = proposal.withUnknownOutcome();
        } else if (repliedPurpose == Purpose.PROPOSE && !proposal.outcomeUnknown()) {
            requeueProposal();
        }
        if (repliedPurpose == Purpose.READ_ANSWER || repliedPurpose == Purpose.READ_ANSWER_HEAD) {
            answer(answerReads.remove(0).requestId(), Kind.OUTCOME_UNKNOWN);
        }
    }

    private List<PartitionEffect> advance(ClaimTime now) {
        if (openCallPurpose == null && now.monotonicMillis() >= backoffUntilMillis) {
            startNextCall(now);
        }
        queryFleetIfTimedOut(now);
        List<PartitionEffect> out = List.copyOf(effects);
        effects.clear();
        return out;
    }

    private void startNextCall(ClaimTime now) {
        if (phase == Phase.NOT_LOADED) {
            if (ownsPartition || !isIdle()) {
                startCall(Purpose.LOAD_HEAD, new PlatformCall.ReadHead(), now);
            }
            return;
        }
        if (phase == Phase.LOADING) {
            continueLoading(now);
            return;
        }
        if (proposal != null) {
            startCall(Purpose.READ_PROPOSAL, new PlatformCall.ReadLog(List.of(proposal.sequence())), now);
            return;
        }
        if (!answerReads.isEmpty()) {
            startAnswerRead(now);
            return;
        }
        if (now.monotonicMillis() - lastProposedMillis >= settings.batchIntervalMillis() && !pending.isEmpty()) {
            processPending(now);
        }
        if (openCallPurpose == null && answerReads.isEmpty()) {
            startIdleCall(now);
        }
    }

    private void continueLoading(ClaimTime now) {
        List<PartitionHead.Segment> segments = head.segments();
        if (segmentsLoaded < segments.size()) {
            int end = Math.min(segments.size(), segmentsLoaded + SEGMENTS_PER_READ);
            List<String> keys = segments.subList(segmentsLoaded, end).stream()
                    .map(PartitionHead.Segment::key)
                    .toList();
            startCall(Purpose.LOAD_SEGMENTS, new PlatformCall.ReadSegments(keys), now);
            return;
        }
        listLogEnd(now);
    }

    private void startIdleCall(ClaimTime now) {
        long confirmedAgo = now.monotonicMillis() - endConfirmedMillis;
        if (ownsPartition && (!endConfirmed || confirmedAgo >= settings.idleSyncMillis())) {
            listLogEnd(now);
            return;
        }
        if (ownsPartition) {
            compaction
                    .nextCall(head, endSequence, now)
                    .ifPresent(platformCall -> startCall(Purpose.COMPACT, platformCall, now));
        }
    }

    private void listLogEnd(ClaimTime now) {
        startCall(Purpose.LIST_LOG, new PlatformCall.ListLog(endSequence, LIST_PAGE_SIZE), now);
    }

    private void startCall(Purpose purpose, PlatformCall platformCall, ClaimTime now) {
        openCallPurpose = purpose;
        callStartedMillis = now.monotonicMillis();
        effects.add(new PartitionEffect.Call(platformCall));
    }

    // Loading the snapshots and the log.

    private void startLoading(PartitionHead read) {
        phase = Phase.LOADING;
        index = new ClaimIndex();
        head = read;
        endSequence = read.floorSequence();
        firstUnconfirmedSequence = endSequence;
        lastBatchId = read.floorSequence() == 1 ? "" : null;
        endConfirmed = false;
        segmentsLoaded = 0;
        compaction.reset();
    }

    private void applySegments(List<Optional<SegmentValue>> read) {
        for (Optional<SegmentValue> segment : read) {
            if (segment.isEmpty()) {
                // Another node has replaced the head since it was read.
                phase = Phase.NOT_LOADED;
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

    // Reading new log values and confirming the log's end.

    private void handleListing(List<Long> sequences, ClaimTime now) {
        if (sequences.isEmpty()) {
            endObservedMillis = callStartedMillis;
            if (isEndRecentlyConfirmed(now)) {
                markEndConfirmed();
            } else {
                startCall(Purpose.CONFIRM_END, new PlatformCall.ReadHead(), now);
            }
            return;
        }
        if (sequences.get(0) != endSequence) {
            phase = Phase.NOT_LOADED;
            return;
        }
        listedSequences = sequences;
        startCall(Purpose.READ_LOG, new PlatformCall.ReadLog(sequences), now);
    }

    private void applyLogValues(List<Optional<ClaimBatch>> read, ClaimTime now) {
        for (int i = 0; i < read.size(); i++) {
            if (read.get(i).isEmpty()
                    || listedSequences.get(i) != endSequence
                    || !continuesChain(read.get(i).get())) {
                phase = Phase.NOT_LOADED;
                return;
            }
            apply(read.get(i).get(), now);
        }
        listLogEnd(now);
    }

    private boolean continuesChain(ClaimBatch batch) {
        return lastBatchId == null || lastBatchId.equals(batch.previousBatchId());
    }

    // If the last value read is still in the log, the chain of batch identifiers verifies the values before it.
    // Otherwise the values read may have been created a second time, after the originals were moved to a snapshot.
    private void confirmEnd(PartitionHead read) {
        if (read.floorSequence() > firstUnconfirmedSequence && read.floorSequence() >= endSequence) {
            phase = Phase.NOT_LOADED;
            return;
        }
        adoptHead(read);
        markEndConfirmed();
    }

    private void markEndConfirmed() {
        phase = Phase.READY;
        firstUnconfirmedSequence = endSequence;
        endConfirmed = true;
        endConfirmedMillis = endObservedMillis;
    }

    private boolean isEndRecentlyConfirmed(ClaimTime now) {
        return endConfirmed && now.monotonicMillis() - endConfirmedMillis <= END_VALID_MILLIS;
    }

    private void apply(ClaimBatch batch, ClaimTime now) {
        index.apply(endSequence, batch);
        compaction.onApplied(endSequence, batch, now);
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

    private void processPending(ClaimTime now) {
        if (!isEndRecentlyConfirmed(now)) {
            listLogEnd(now);
            return;
        }
        List<PendingRequest> chosen = new ArrayList<>();
        List<LogEntry> entries = new ArrayList<>();
        Set<ClaimKey> keys = new HashSet<>();
        boolean needsSync = false;
        int bytes = 0;
        for (PendingRequest pendingRequest : List.copyOf(pending.values())) {
            if (entries.size() >= MAX_BATCH_ENTRIES || bytes >= MAX_BATCH_BYTES) {
                break;
            }
            if (!needsLogEntry(pendingRequest, now)) {
                needsSync |= pending.containsKey(pendingRequest.requestId());
                continue;
            }
            if (keys.add(pendingRequest.request().key())) {
                LogEntry entry = LogEntry.of(pendingRequest.request(), now.wallMillis());
                bytes += entry.estimateBytes();
                entries.add(entry);
                chosen.add(pendingRequest);
            }
        }
        if (!entries.isEmpty()) {
            chosen.forEach(pendingRequest -> pending.remove(pendingRequest.requestId()));
            // The sequence is known to be free at the first proposal only; later attempts must not renew this time.
            endObservedMillis = now.monotonicMillis();
            propose(
                    new Proposal(
                            endSequence,
                            new ClaimBatch(nextBatchId(), lastBatchId == null ? "" : lastBatchId, entries),
                            chosen,
                            false),
                    now);
        } else if (needsSync) {
            listLogEnd(now);
        }
    }

    private void propose(Proposal next, ClaimTime now) {
        proposal = next;
        highestProposedSequence = Math.max(highestProposedSequence, next.sequence());
        lastProposedMillis = now.monotonicMillis();
        startCall(Purpose.PROPOSE, new PlatformCall.CreateLog(next.sequence(), next.batch()), now);
    }

    private void handleProposalWritten(boolean created, ClaimTime now) {
        if (created) {
            confirmOrCompleteProposal(now);
            return;
        }
        // Either another node wrote first, or an earlier call for this proposal took effect and its response was lost.
        startCall(Purpose.READ_PROPOSAL, new PlatformCall.ReadLog(List.of(proposal.sequence())), now);
    }

    private void handleProposalRead(Optional<ClaimBatch> found, ClaimTime now) {
        if (found.isEmpty()) {
            propose(proposal, now);
            return;
        }
        if (found.get().batchId().equals(proposal.batch().batchId())) {
            confirmOrCompleteProposal(now);
            return;
        }
        requeueProposal();
        listLogEnd(now);
    }

    private void confirmOrCompleteProposal(ClaimTime now) {
        if (isEndRecentlyConfirmed(now)) {
            completeProposal(now);
        } else {
            startCall(Purpose.CONFIRM_PROPOSAL_HEAD, new PlatformCall.ReadHead(), now);
        }
    }

    private void confirmProposal(PartitionHead read, ClaimTime now) {
        if (read.floorSequence() > proposal.sequence()) {
            // The sequence may have been written, compacted and deleted before; the snapshots show what was recorded.
            requeueProposal();
            phase = Phase.NOT_LOADED;
            return;
        }
        adoptHead(read);
        completeProposal(now);
    }

    private void completeProposal(ClaimTime now) {
        Proposal recorded = proposal;
        proposal = null;
        apply(recorded.batch(), now);
        firstUnconfirmedSequence = endSequence;
        endConfirmed = true;
        endConfirmedMillis = Math.max(endConfirmedMillis, endObservedMillis);
        for (PendingRequest pendingRequest : recorded.requests()) {
            if (pendingRequest.request() instanceof PartitionRequest.Claim) {
                ClaimIndex.State state = index.find(pendingRequest.request().key());
                boolean granted =
                        ClaimIndex.isOpen(state, pendingRequest.request().token());
                answer(pendingRequest.requestId(), granted ? Kind.GRANTED : Kind.OUTCOME_UNKNOWN);
            } else {
                answer(pendingRequest.requestId(), Kind.RECORDED);
            }
        }
    }

    private void requeueProposal() {
        Proposal withdrawn = proposal;
        proposal = null;
        withdrawn.requests().forEach(pendingRequest -> pending.put(pendingRequest.requestId(), pendingRequest));
    }

    private String nextBatchId() {
        batchCount++;
        return batchIdPrefix + "-" + batchCount;
    }

    // Answering requests.

    // Returns true if the request must be added to the log. Otherwise it has been answered, or it stays pending until
    // the log's end has been confirmed after its arrival.
    private boolean needsLogEntry(PendingRequest pendingRequest, ClaimTime now) {
        ClaimIndex.State state = index.find(pendingRequest.request().key());
        if (pendingRequest.request() instanceof PartitionRequest.Claim claim) {
            return needsClaimEntry(pendingRequest, claim, state, now);
        }
        if (ClaimIndex.isOpen(state, pendingRequest.request().token())) {
            return true;
        }
        if (isEndConfirmedAfterArrival(pendingRequest)) {
            removeAndAnswer(pendingRequest, Kind.RECORDED);
        }
        return false;
    }

    private boolean needsClaimEntry(
            PendingRequest pendingRequest, PartitionRequest.Claim claim, ClaimIndex.State state, ClaimTime now) {
        switch (lookup(claim, state, now)) {
            case RECORD -> {
                return true;
            }
            case GRANTED -> removeAndAnswer(pendingRequest, Kind.GRANTED);
            case EXPIRED -> removeAndAnswer(pendingRequest, Kind.EXPIRED);
            case MISMATCH -> removeAndAnswer(pendingRequest, Kind.MISMATCH);
            case FINISHED -> {
                pending.remove(pendingRequest.requestId());
                answerReads.add(new AnswerRead(pendingRequest.requestId(), claim.key(), state.finishedSequence()));
            }
            case IN_PROGRESS -> removeAndAnswerIfConfirmed(pendingRequest, Kind.IN_PROGRESS);
            default -> removeAndAnswerIfConfirmed(pendingRequest, Kind.OUTCOME_UNKNOWN);
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

    private boolean isEndConfirmedAfterArrival(PendingRequest pendingRequest) {
        return endConfirmed && endConfirmedMillis >= pendingRequest.arrivedMillis();
    }

    private void removeAndAnswerIfConfirmed(PendingRequest pendingRequest, Kind kind) {
        if (isEndConfirmedAfterArrival(pendingRequest)) {
            removeAndAnswer(pendingRequest, kind);
        }
    }

    private void removeAndAnswer(PendingRequest pendingRequest, Kind kind) {
        pending.remove(pendingRequest.requestId());
        answer(pendingRequest.requestId(), kind);
    }

    private void answer(long requestId, Kind kind) {
        effects.add(new PartitionEffect.Answer(requestId, ClaimOutcome.of(kind)));
    }

    // Answering requests that time out while the key-value service is unreachable.

    private void queryFleetIfTimedOut(ClaimTime now) {
        if (fleetQueryOpen) {
            return;
        }
        boolean timedOut = pending.values().stream()
                .anyMatch(pendingRequest ->
                        now.monotonicMillis() - pendingRequest.arrivedMillis() >= settings.recordTimeoutMillis());
        if (timedOut) {
            fleetQueryOpen = true;
            fleetQueryMillis = now.monotonicMillis();
            effects.add(new PartitionEffect.AskFleet(confirmedAgeMillis(now)));
        }
    }

    private long confirmedAgeMillis(ClaimTime now) {
        return endConfirmed ? now.monotonicMillis() - endConfirmedMillis : Long.MAX_VALUE;
    }

    private void answerTimedOut(PendingRequest pendingRequest, boolean logComplete, ClaimTime now) {
        if (!(pendingRequest.request() instanceof PartitionRequest.Claim claim)) {
            answer(pendingRequest.requestId(), Kind.OUTCOME_UNKNOWN);
            return;
        }
        ClaimIndex.State state = phase == Phase.READY ? index.find(claim.key()) : null;
        if (state == null) {
            boolean notRun = logComplete && !isProposed(claim.key());
            answer(pendingRequest.requestId(), notRun ? Kind.REFUSED : Kind.OUTCOME_UNKNOWN);
            return;
        }
        boolean sameRequest = state.fingerprint().equals(claim.fingerprint());
        boolean inProgress = lookup(claim, state, now) == ClaimLookup.Outcome.IN_PROGRESS;
        answer(pendingRequest.requestId(), sameRequest && inProgress ? Kind.IN_PROGRESS : Kind.OUTCOME_UNKNOWN);
    }

    private boolean isProposed(ClaimKey key) {
        return proposal != null
                && proposal.batch().entries().stream()
                        .anyMatch(entry -> entry.key().equals(key));
    }

    // Reading stored answers.

    private void startAnswerRead(ClaimTime now) {
        long sequence = answerReads.get(0).sequence();
        if (sequence >= head.floorSequence()) {
            startCall(Purpose.READ_ANSWER, new PlatformCall.ReadLog(List.of(sequence)), now);
            return;
        }
        Optional<PartitionHead.Segment> segment = findSegment(sequence);
        if (segment.isEmpty()) {
            answer(answerReads.remove(0).requestId(), Kind.EXPIRED);
            return;
        }
        startCall(
                Purpose.READ_ANSWER,
                new PlatformCall.ReadSegments(List.of(segment.get().key())),
                now);
    }

    private Optional<PartitionHead.Segment> findSegment(long sequence) {
        return head.segments().stream()
                .filter(segment -> segment.firstSequence() <= sequence && sequence <= segment.lastSequence())
                .findFirst();
    }

    private void handleAnswerRead(PlatformReply reply) {
        AnswerRead read = answerReads.get(0);
        Optional<ClaimBatch> batch = reply instanceof PlatformReply.LogRead log
                ? log.batches().get(0)
                : ((PlatformReply.SegmentsRead) reply).segments().get(0).map(segment -> segment.batches()
                        .get((int) (read.sequence() - segment.firstSequence())));
        if (batch.isEmpty()) {
            // Another node has moved the value to a snapshot since the head was read.
            openCallPurpose = Purpose.READ_ANSWER_HEAD;
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

    private void handleCompactionReply(PlatformReply reply, ClaimTime now) {
        if (reply instanceof PlatformReply.Failed) {
            backoffUntilMillis = now.monotonicMillis() + CALL_BACKOFF_MILLIS;
        }
        compaction.handleReply(reply).ifPresent(this::adoptHead);
    }
}
