package org.cowslipbank.decision.retention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.StoreTier;

/** Chooses blocks to export and to evict by their expected value per byte. */
public final class RetentionDecision {
    /** The export decision as recorded in traces and replayed. */
    public static final Decision<ExportInput, ExportOutcome> EXPORT =
            new Decision<>("export", ExportInput.class, ExportOutcome.class, RetentionDecision::export);

    /** The eviction decision as recorded in traces and replayed. */
    public static final Decision<EvictionInput, EvictionOutcome> EVICT =
            new Decision<>("evict", EvictionInput.class, EvictionOutcome.class, RetentionDecision::evict);

    private RetentionDecision() {}

    /**
     * Decides how many blocks of a finished run are exported.
     *
     * @param input the run, the link and the store
     * @return number of leading blocks, their tier and the reason
     */
    public static ExportOutcome export(ExportInput input) {
        RetentionPolicy policy = input.policy();
        double probability = input.hasSession() ? input.history().returnProbability(0, policy.horizonMillis()) : 0;
        if (!isWorthLink(input, probability)) {
            return new ExportOutcome(ExportOutcome.Reason.NOT_WORTH_LINK, 0, StoreTier.DISK, probability);
        }
        double spareMillis = input.maxExportDelayMillis() - input.linkBusyMillis();
        int exportableBlocks = (int) Math.min(input.blocks(), Math.max(0, spareMillis / input.transferBlockMillis()));
        if (exportableBlocks == 0) {
            return new ExportOutcome(ExportOutcome.Reason.LINK_BUSY, 0, StoreTier.DISK, probability);
        }
        return chooseTier(input, probability, exportableBlocks);
    }

    // An export uses the link for the export itself and, if the session returns, for the import.
    private static boolean isWorthLink(ExportInput input, double probability) {
        DecisionWeights weights = input.policy().weights();
        double savedCost = probability
                * ((weights.timeToFirstToken() + weights.recompute()) * input.recomputeBlockMillis()
                        - weights.timeToFirstToken() * input.transferBlockMillis());
        double linkCost = weights.link() * (1 + probability) * input.linkUseBlockMillis();
        return savedCost > linkCost;
    }

    private static ExportOutcome chooseTier(ExportInput input, double probability, int blocks) {
        RetentionPolicy policy = input.policy();
        long bytes = blocks * input.blockBytes();
        // Memory is filled first: the store can move a session that stays away to disk without using the link.
        if (input.memory().accepts(bytes, policy.exportLimitShare())) {
            return new ExportOutcome(ExportOutcome.Reason.WORTH_KEEPING, blocks, StoreTier.MEMORY, probability);
        }
        if (input.disk().accepts(bytes, policy.exportLimitShare())) {
            return new ExportOutcome(ExportOutcome.Reason.WORTH_KEEPING, blocks, StoreTier.DISK, probability);
        }
        return new ExportOutcome(ExportOutcome.Reason.STORE_FULL, 0, StoreTier.DISK, probability);
    }

    /**
     * Chooses the blocks that a full tier evicts: sessions with the least value per byte first, and of a session the
     * last blocks first.
     *
     * @param input the tier
     * @return the cuts, which free the requested bytes unless the tier holds less
     */
    public static EvictionOutcome evict(EvictionInput input) {
        List<RetainedSession> byValue = new ArrayList<>(input.sessions());
        byValue.sort(
                Comparator.comparingDouble((RetainedSession session) -> valuePerByte(session, input.horizonMillis()))
                        .thenComparingLong(RetainedSession::id));
        List<EvictionOutcome.Cut> cuts = new ArrayList<>();
        long remainingBytes = input.bytesToFree();
        for (RetainedSession session : byValue) {
            if (remainingBytes <= 0) {
                break;
            }
            long neededBlocks = (remainingBytes + session.blockBytes() - 1) / session.blockBytes();
            int evictedBlocks = (int) Math.min(session.blocks(), neededBlocks);
            cuts.add(new EvictionOutcome.Cut(session.id(), session.blocks() - evictedBlocks));
            remainingBytes -= evictedBlocks * session.blockBytes();
        }
        return new EvictionOutcome(cuts);
    }

    private static double valuePerByte(RetainedSession session, long horizonMillis) {
        double probability = session.history().returnProbability(session.awayMillis(), horizonMillis);
        return probability * session.recomputeBlockMillis() / session.blockBytes();
    }
}
