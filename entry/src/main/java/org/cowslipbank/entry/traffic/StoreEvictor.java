package org.cowslipbank.entry.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.decision.retention.EvictionInput;
import org.cowslipbank.decision.retention.EvictionOutcome;
import org.cowslipbank.decision.retention.RetainedSession;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.ports.Store;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Frees the least valuable blocks of this node's sessions at a full store. Each node frees space for its own exports, so
 * no node needs to know the sessions of other nodes. A reader of a freed block sees a different generation and
 * recomputes the block.
 */
final class StoreEvictor {
    private static final Logger LOG = LogManager.getLogger(StoreEvictor.class);

    private static final int MAX_SESSIONS_PER_EVICTION = 64;
    private static final long UNLIMITED_BYTES = 1L << 60;

    private final TrafficContext context;
    private final BlockLocator locator;
    private final SessionGapTracker gaps;
    private final AtomicBoolean evicting = new AtomicBoolean();

    StoreEvictor(TrafficContext context, BlockLocator locator, SessionGapTracker gaps) {
        this.context = context;
        this.locator = locator;
        this.gaps = gaps;
    }

    /**
     * Frees blocks in the background. Does nothing while an earlier eviction by this node is running.
     *
     * @param store the store
     * @param bytesToFree number of bytes to free
     * @param blockBytes length of a block in bytes
     * @param horizonMillis a return expected later than this adds no value to a block, in milliseconds
     */
    void evict(StoreVm store, long bytesToFree, long blockBytes, long horizonMillis) {
        if (!evicting.compareAndSet(false, true)) {
            return;
        }
        List<SessionGapTracker.IdleSession> sessions = gaps.idleSessions().stream()
                .filter(session -> !session.chain().isEmpty())
                .filter(session -> locator.storeFor(session.chain()).equals(Optional.of(store)))
                .toList();
        // The store may hold fewer blocks of a session than its chain lists, so all sessions are ranked and then freed
        // in that order until enough bytes are free.
        EvictionInput input = new EvictionInput(retainedSessions(sessions, blockBytes), UNLIMITED_BYTES, horizonMillis);
        EvictionOutcome outcome = context.recorder().decide(RetentionDecision.EVICT, input);
        Store client = context.systems().store(store.address());
        AtomicLong remainingBytes = new AtomicLong(bytesToFree);
        Flux.fromIterable(outcome.cuts())
                .take(MAX_SESSIONS_PER_EVICTION)
                .takeWhile(cut -> remainingBytes.get() > 0)
                .concatMap(cut -> freeBlocks(client, sessions.get((int) cut.id()), cut.keptBlocks()), 1)
                .doOnNext(freed -> remainingBytes.addAndGet(-freed * blockBytes))
                .reduce(0, Integer::sum)
                .doFinally(signal -> evicting.set(false))
                .subscribe(
                        freed -> LOG.info(LogFields.event("blocks evicted")
                                .step(ProcessingStep.EXPORT)
                                .peer(store.address())
                                .field("blocks", freed)),
                        error -> LOG.info(LogFields.event("block eviction failed")
                                .step(ProcessingStep.EXPORT)
                                .peer(store.address())
                                .error(error)));
    }

    private List<RetainedSession> retainedSessions(List<SessionGapTracker.IdleSession> sessions, long blockBytes) {
        long nowMillis = context.clock().nowMillis();
        List<RetainedSession> retained = new ArrayList<>(sessions.size());
        for (int i = 0; i < sessions.size(); i++) {
            SessionGapTracker.IdleSession session = sessions.get(i);
            retained.add(new RetainedSession(
                    i,
                    StoreTier.DISK,
                    session.chain().size(),
                    blockBytes,
                    nowMillis - session.endedAtMillis(),
                    gaps.history(session.team()),
                    session.recomputeBlockMillis()));
        }
        return retained;
    }

    private Mono<Integer> freeBlocks(Store store, SessionGapTracker.IdleSession session, int keptBlocks) {
        List<BlockKey> keys = session.chain().stream()
                .skip(keptBlocks)
                .map(BlockIdentity::key)
                .toList();
        return store.find(keys)
                .flatMapMany(Flux::fromIterable)
                .concatMap(ref -> store.free(ref.identity().key(), ref.generation()))
                .filter(Boolean::booleanValue)
                .count()
                .doOnNext(freed -> gaps.recordBlocksFreed(session))
                .map(Long::intValue);
    }
}
