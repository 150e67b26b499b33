package org.cowslipbank.decision.retention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.StoreTier;

/** Chooses blocks to export and to evict by their expected value per byte. */
public final class RetentionDecision {
    /** The export decision in a form that can be recorded and replayed. */
    public static final Decision<ExportInput, ExportOutcome> EXPORT =
            new Decision<>("export", ExportInput.class, ExportOutcome.class, RetentionDecision::export);

    /** The eviction decision in a form that can be recorded and replayed. */
    public static final Decision<EvictionInput, EvictionOutcome> EVICT =
            new Decision<>("evict", EvictionInput.class, EvictionOutcome.class, RetentionDecision::evict);

    private RetentionDecision() {}

    /**
     * Chooses which blocks of a finished run are exported.
     *
     * @param input the run
     * @return how many leading blocks go to which tier
     */
    public static ExportOutcome export(ExportInput input) {
        RetentionPolicy policy = input.policy();
        double probability = input.hasSession() ? input.history().returnProbability(0, policy.horizonMillis()) : 0;
        if (!isWorthLink(input, probability)) {
            return new ExportOutcome(ExportOutcome.Reason.NOT_WORTH_LINK, 0, StoreTier.DISK, probability);
        }
        double spareMillis = input.maxExportDelayMillis() - input.linkBusyMillis();
        int inTime = (int) Math.min(input.blocks(), Math.max(0, spareMillis / input.transferBlockMillis()));
        if (inTime == 0) {
            return new ExportOutcome(ExportOutcome.Reason.LINK_BUSY, 0, StoreTier.DISK, probability);
        }
        return inTier(input, probability, inTime);
    }

    // An export costs the link twice: on the way out, and on the way back if the session returns.
    private static boolean isWorthLink(ExportInput input, double probability) {
        DecisionWeights weights = input.policy().weights();
        double saved = probability
                * ((weights.timeToFirstToken() + weights.recompute()) * input.recomputeBlockMillis()
                        - weights.timeToFirstToken() * input.transferBlockMillis());
        double link = weights.link() * (1 + probability) * input.linkUseBlockMillis();
        return saved > link;
    }

    private static ExportOutcome inTier(ExportInput input, double probability, int blocks) {
        RetentionPolicy policy = input.policy();
        long bytes = blocks * input.blockBytes();
        // Memory fills first: a session that stays away longer than others moves to disk without using the link.
        if (input.memory().accepts(bytes, policy.exportLimitShare())) {
            return new ExportOutcome(ExportOutcome.Reason.WORTH_KEEPING, blocks, StoreTier.MEMORY, probability);
        }
        if (input.disk().accepts(bytes, policy.exportLimitShare())) {
            return new ExportOutcome(ExportOutcome.Reason.WORTH_KEEPING, blocks, StoreTier.DISK, probability);
        }
        return new ExportOutcome(ExportOutcome.Reason.STORE_FULL, 0, StoreTier.DISK, probability);
    }

    /**
     * Chooses which blocks a full tier gives up: those of least value per byte, the tail of a session first.
     *
     * @param input the tier
     * @return the cuts; together they free the wanted bytes unless the tier holds less
     */
    public static EvictionOutcome evict(EvictionInput input) {
        List<RetainedSession> byValue = new ArrayList<>(input.sessions());
        byValue.sort(
                Comparator.comparingDouble((RetainedSession session) -> valuePerByte(session, input.horizonMillis()))
                        .thenComparingLong(RetainedSession::id));
        List<EvictionOutcome.Cut> cuts = new ArrayList<>();
        long left = input.bytesToFree();
        for (RetainedSession session : byValue) {
            if (left <= 0) {
                break;
            }
            long wanted = (left + session.blockBytes() - 1) / session.blockBytes();
            int freed = (int) Math.min(session.blocks(), wanted);
            cuts.add(new EvictionOutcome.Cut(session.id(), session.blocks() - freed));
            left -= freed * session.blockBytes();
        }
        return new EvictionOutcome(cuts);
    }

    private static double valuePerByte(RetainedSession session, long horizonMillis) {
        double probability = session.history().returnProbability(session.awayMillis(), horizonMillis);
        return probability * session.recomputeBlockMillis() / session.blockBytes();
    }
}
