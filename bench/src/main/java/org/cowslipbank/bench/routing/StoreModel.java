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

/** Space of one store and the sessions that it holds. */
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

    /** Notes the blocks that a session has here now. */
    void hold(Session session, int blocks, StoreTier tier) {
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
        List.copyOf(sessions.values()).forEach(session -> hold(session, 0, StoreTier.MEMORY));
    }

    /** Moves sessions of least value from memory to disk, and frees those of least value on disk. */
    void makeRoom(Function<Session, RetainedSession> describe) {
        relieve(StoreTier.MEMORY, describe);
        relieve(StoreTier.DISK, describe);
    }

    private void relieve(StoreTier tier, Function<Session, RetainedSession> describe) {
        long used = usedBytes.get(tier);
        long capacity = capacityBytes.get(tier);
        double startShare = (policy.exportLimitShare() + policy.evictTargetShare()) / 2;
        if (used <= startShare * capacity) {
            return;
        }
        List<RetainedSession> held = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.tier == tier && !session.exporting) {
                held.add(describe.apply(session));
            }
        }
        long horizonMillis = tier == StoreTier.MEMORY ? policy.memoryHorizonMillis() : policy.horizonMillis();
        long bytesToFree = used - (long) (policy.evictTargetShare() * capacity);
        EvictionOutcome outcome = RetentionDecision.evict(new EvictionInput(held, bytesToFree, horizonMillis));
        for (EvictionOutcome.Cut cut : outcome.cuts()) {
            Session session = sessions.get((int) cut.id());
            if (tier == StoreTier.MEMORY) {
                hold(session, session.storedBlocks, StoreTier.DISK);
            } else {
                hold(session, cut.keptBlocks(), tier);
            }
        }
    }
}
