package org.cowslipbank.bench.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.cowslipbank.decision.retention.EvictionInput;
import org.cowslipbank.decision.retention.EvictionOutcome;
import org.cowslipbank.decision.retention.RetainedSession;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.decision.retention.RetentionPolicy;
import org.cowslipbank.decision.retention.TierSpace;
import org.cowslipbank.model.StoreTier;

/** Models the space of one store and the sessions whose blocks it holds. */
final class StoreModel {
    private final Map<StoreTier, Long> capacityBytes = new EnumMap<>(StoreTier.class);
    private final Map<StoreTier, Long> usedBytes = new EnumMap<>(StoreTier.class);
    private final Map<Integer, Session> sessions = new LinkedHashMap<>();
    private final long blockBytes;
    private final RetentionPolicy policy;

    StoreModel(Workload workload, RetentionPolicy policy) {
        this.blockBytes = workload.blockBytes();
        this.policy = policy;
        capacityBytes.put(StoreTier.MEMORY, workload.storeMemoryBytes());
        capacityBytes.put(StoreTier.DISK, workload.storeDiskBytes());
        usedBytes.put(StoreTier.MEMORY, 0L);
        usedBytes.put(StoreTier.DISK, 0L);
    }

    TierSpace space(StoreTier tier) {
        return new TierSpace(usedBytes.get(tier), capacityBytes.get(tier));
    }

    /** Records how many blocks of a session the store holds, and in which tier. */
    void setStoredBlocks(Session session, int blocks, StoreTier tier) {
        usedBytes.merge(session.tier, -session.storedBlocks * blockBytes, Long::sum);
        session.storedBlocks = blocks;
        session.tier = tier;
        usedBytes.merge(tier, blocks * blockBytes, Long::sum);
        if (blocks > 0) {
            sessions.put(session.id, session);
        } else {
            sessions.remove(session.id);
        }
    }

    void clear() {
        List.copyOf(sessions.values()).forEach(session -> setStoredBlocks(session, 0, StoreTier.MEMORY));
    }

    /** Demotes the sessions of least value from memory to disk, and evicts those of least value from disk. */
    void evict(Function<Session, RetainedSession> retainedSession) {
        evictFromTier(StoreTier.MEMORY, retainedSession);
        evictFromTier(StoreTier.DISK, retainedSession);
    }

    private void evictFromTier(StoreTier tier, Function<Session, RetainedSession> retainedSession) {
        long used = usedBytes.get(tier);
        long capacity = capacityBytes.get(tier);
        double triggerShare = (policy.exportLimitShare() + policy.evictTargetShare()) / 2;
        if (used <= triggerShare * capacity) {
            return;
        }
        List<RetainedSession> evictable = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.tier == tier && !session.exporting) {
                evictable.add(retainedSession.apply(session));
            }
        }
        long horizonMillis = tier == StoreTier.MEMORY ? policy.memoryHorizonMillis() : policy.horizonMillis();
        long bytesToFree = used - (long) (policy.evictTargetShare() * capacity);
        EvictionOutcome outcome = RetentionDecision.evict(new EvictionInput(evictable, bytesToFree, horizonMillis));
        for (EvictionOutcome.Cut cut : outcome.cuts()) {
            Session session = sessions.get((int) cut.id());
            if (tier == StoreTier.MEMORY) {
                setStoredBlocks(session, session.storedBlocks, StoreTier.DISK);
            } else {
                setStoredBlocks(session, cut.keptBlocks(), tier);
            }
        }
    }
}
