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
import org.cowslipbank.model.Step;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.ports.Store;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Frees the least valuable blocks of this node's sessions at a store that is full. Every node frees for its own
 * exports, so no node needs to know the sessions of others. A reader of a freed block sees another generation and
 * recomputes.
 */
final class StoreEvictor {
    private static final Logger LOG = LogManager.getLogger(StoreEvictor.class);

    private static final int MAX_SESSIONS_A_TIME = 64;
    private static final long ALL_BYTES = 1L << 60;

    private final TrafficContext context;
    private final BlockLocator locator;
    private final SessionGaps gaps;
    private final AtomicBoolean evicting = new AtomicBoolean();

    StoreEvictor(TrafficContext context, BlockLocator locator, SessionGaps gaps) {
        this.context = context;
        this.locator = locator;
        this.gaps = gaps;
    }

    /**
     * Frees blocks. Does nothing while an earlier eviction of this node runs.
     *
     * @param store the store
     * @param bytesToFree bytes wanted
     * @param blockBytes length of a block
     * @param horizonMillis returns after this time count nothing
     */
    void makeRoom(StoreVm store, long bytesToFree, long blockBytes, long horizonMillis) {
        if (!evicting.compareAndSet(false, true)) {
            return;
        }
        List<SessionGaps.Ended> sessions = gaps.sessions().stream()
                .filter(session -> !session.chain().isEmpty())
                .filter(session -> locator.storeFor(session.chain()).equals(Optional.of(store)))
                .toList();
        // The store may hold less of a session than its chain, so all sessions are ranked and freed in that order until
        // enough has gone.
        EvictionInput input = new EvictionInput(retained(sessions, blockBytes), ALL_BYTES, horizonMillis);
        EvictionOutcome outcome = context.recorder().decide(RetentionDecision.EVICT, input);
        Store client = context.systems().store(store.address());
        AtomicLong leftBytes = new AtomicLong(bytesToFree);
        Flux.fromIterable(outcome.cuts())
                .take(MAX_SESSIONS_A_TIME)
                .takeWhile(cut -> leftBytes.get() > 0)
                .concatMap(cut -> free(client, sessions.get((int) cut.id()), cut.keptBlocks()), 1)
                .doOnNext(freed -> leftBytes.addAndGet(-freed * blockBytes))
                .reduce(0, Integer::sum)
                .doFinally(signal -> evicting.set(false))
                .subscribe(
                        freed -> LOG.info(LogFields.event("blocks evicted")
                                .step(Step.EXPORT)
                                .peer(store.address())
                                .field("blocks", freed)),
                        error -> LOG.info(LogFields.event("eviction failed")
                                .step(Step.EXPORT)
                                .peer(store.address())
                                .error(error)));
    }

    private List<RetainedSession> retained(List<SessionGaps.Ended> sessions, long blockBytes) {
        long nowMillis = context.clock().nowMillis();
        List<RetainedSession> retained = new ArrayList<>(sessions.size());
        for (int i = 0; i < sessions.size(); i++) {
            SessionGaps.Ended session = sessions.get(i);
            retained.add(new RetainedSession(
                    i,
                    StoreTier.DISK,
                    session.chain().size(),
                    blockBytes,
                    nowMillis - session.atMillis(),
                    gaps.history(session.team()),
                    session.recomputeBlockMillis()));
        }
        return retained;
    }

    private Mono<Integer> free(Store store, SessionGaps.Ended session, int keptBlocks) {
        List<BlockKey> keys = session.chain().stream()
                .skip(keptBlocks)
                .map(BlockIdentity::key)
                .toList();
        return store.find(keys)
                .flatMapMany(Flux::fromIterable)
                .concatMap(ref -> store.free(ref.identity().key(), ref.generation()))
                .filter(Boolean::booleanValue)
                .count()
                .doOnNext(freed -> gaps.blocksFreed(session))
                .map(Long::intValue);
    }
}
