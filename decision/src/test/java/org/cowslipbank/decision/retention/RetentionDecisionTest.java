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

    /** Guards against a store that fills up (section 4): exports stop before its limit. */
    @Example
    boolean exportsStopBeforeTheStoreIsFull() {
        TierSpace full = new TierSpace(950, 1_000);
        TierSpace empty = new TierSpace(0, 1_000_000_000_000L);
        ExportOutcome none = export(returning(), true, full, full);
        ExportOutcome disk = export(returning(), true, full, empty);
        return none.reason() == ExportOutcome.Reason.STORE_FULL
                && none.blocks() == 0
                && disk.blocks() == 10
                && disk.tier() == StoreTier.DISK;
    }

    /** Guards against links filled with blocks that are never read. */
    @Example
    boolean blocksOfTeamsThatStayAwayAreNotExported() {
        TierSpace empty = new TierSpace(0, 1_000_000_000_000L);
        return export(staying(), true, empty, empty).blocks() == 0
                && export(returning(), false, empty, empty).blocks() == 0
                && export(returning(), true, empty, empty).blocks() == 10;
    }

    /** Guards against long gaps being taken for lost sessions while the sessions are still away. */
    @Example
    boolean sessionsStillAwayAreNotCountedAsLost() {
        GapHistogram young = GapHistogram.empty();
        for (int i = 0; i < 100; i++) {
            young = young.withAway(0, 30_000);
        }
        return young.returnProbability(30_000, 60 * MINUTE_MILLIS) > 0.3;
    }

    /** Guards against evicting a head before its tail, and a valuable session before a worthless one. */
    @Example
    boolean leastValueGoesFirstFromTheTail() {
        RetainedSession worthless = session(1, staying());
        RetainedSession valuable = session(2, returning());
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

    private static GapHistogram returning() {
        GapHistogram history = GapHistogram.empty();
        for (int i = 0; i < 100; i++) {
            history = history.withAway(0, 5 * MINUTE_MILLIS).withReturn(5 * MINUTE_MILLIS);
        }
        return history;
    }

    private static GapHistogram staying() {
        GapHistogram history = GapHistogram.empty();
        // The link is cheap by these weights, so only a team known well to stay away is not worth it.
        for (int i = 0; i < 1_000; i++) {
            history = history.withAway(0, 120 * MINUTE_MILLIS);
        }
        return history;
    }
}
