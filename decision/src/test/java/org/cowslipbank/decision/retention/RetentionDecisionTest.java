package org.cowslipbank.decision.retention;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.model.StoreTier;

final class RetentionDecisionTest {
    private static final long BLOCK_BYTES = 64_000_000;
    private static final long MINUTE_MILLIS = 60_000;
    private static final RetentionPolicy POLICY =
            new RetentionPolicy(60 * MINUTE_MILLIS, 2 * MINUTE_MILLIS, 0.95, 0.85, new DecisionWeights(1, 0.2, 0.05));

    /** Guards against exports that fill a store beyond the limit share of its tiers. */
    @Example
    boolean exportsStopBeforeTheStoreIsFull() {
        TierSpace full = new TierSpace(950, 1_000);
        TierSpace empty = new TierSpace(0, 1_000_000_000_000L);
        ExportOutcome none = export(returningHistory(), true, full, full);
        ExportOutcome disk = export(returningHistory(), true, full, empty);
        return none.reason() == ExportOutcome.Reason.STORE_FULL
                && none.blocks() == 0
                && disk.blocks() == 10
                && disk.tier() == StoreTier.DISK;
    }

    /** Guards against links filled with blocks that are never read, since their session is unlikely to return. */
    @Example
    boolean blocksOfTeamsThatStayAwayAreNotExported() {
        TierSpace empty = new TierSpace(0, 1_000_000_000_000L);
        return export(absentHistory(), true, empty, empty).blocks() == 0
                && export(returningHistory(), false, empty, empty).blocks() == 0
                && export(returningHistory(), true, empty, empty).blocks() == 10;
    }

    /** Guards against sessions that are still away being counted as lost. */
    @Example
    boolean sessionsStillAwayAreNotCountedAsLost() {
        GapHistogram history = GapHistogram.empty();
        for (int i = 0; i < 100; i++) {
            history = history.withAway(0, 30_000);
        }
        return history.returnProbability(30_000, 60 * MINUTE_MILLIS) > 0.3;
    }

    /** Guards against evicting leading blocks before last ones, and a valuable session before a worthless one. */
    @Example
    boolean leastValuableSessionIsEvictedFirstFromItsLastBlock() {
        RetainedSession worthless = session(1, absentHistory());
        RetainedSession valuable = session(2, returningHistory());
        EvictionOutcome outcome = RetentionDecision.evict(
                new EvictionInput(List.of(valuable, worthless), 11 * BLOCK_BYTES, POLICY.horizonMillis()));
        return outcome.cuts().equals(List.of(new EvictionOutcome.Cut(1, 0), new EvictionOutcome.Cut(2, 9)));
    }

    private static ExportOutcome export(GapHistogram history, boolean session, TierSpace memory, TierSpace disk) {
        return RetentionDecision.export(
                new ExportInput(history, session, 10, BLOCK_BYTES, 100, 20, 20, 0, 20_000, memory, disk, POLICY));
    }

    private static RetainedSession session(long id, GapHistogram history) {
        return new RetainedSession(id, StoreTier.DISK, 10, BLOCK_BYTES, MINUTE_MILLIS, history, 100);
    }

    private static GapHistogram returningHistory() {
        GapHistogram history = GapHistogram.empty();
        for (int i = 0; i < 100; i++) {
            history = history.withAway(0, 5 * MINUTE_MILLIS).withReturn(5 * MINUTE_MILLIS);
        }
        return history;
    }

    private static GapHistogram absentHistory() {
        GapHistogram history = GapHistogram.empty();
        // The weight of the link is small, so only many observations without a return make an export not worthwhile.
        for (int i = 0; i < 1_000; i++) {
            history = history.withAway(0, 120 * MINUTE_MILLIS);
        }
        return history;
    }
}
