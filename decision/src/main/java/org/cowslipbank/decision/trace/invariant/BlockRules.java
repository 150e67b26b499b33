package org.cowslipbank.decision.trace.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.decision.trace.invariant.Invariant.Breach;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;

/** Rules over retained blocks. */
final class BlockRules {
    private BlockRules() {}

    /** P2: a request uses blocks of its own team only. */
    static List<Breach> noCrossTeamBlock(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Map<RequestId, TeamId> teams = new HashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.RequestStarted started) {
                teams.put(started.request(), started.team());
            } else if (timed.fact() instanceof Fact.BlockUsed used
                    && !used.received().team().equals(teams.get(used.request()))) {
                breaches.add(new Breach(
                        timed,
                        used.request() + " of " + teams.get(used.request()) + " used a block of "
                                + used.received().team()));
            }
        }
        return breaches;
    }

    /** P3: an attempt uses blocks of the version it asks for, and its answer comes from that version. */
    static List<Breach> noForeignWeightVersion(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Map<AttemptId, ModelRef> expected = new HashMap<>();
        Map<AttemptId, ModelRef> ran = new HashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.AttemptSent sent && sent.expected() != null) {
                expected.put(sent.attempt(), sent.expected());
            } else if (timed.fact() instanceof Fact.AttemptRan run) {
                ran.put(run.attempt(), run.ran());
            } else if (timed.fact() instanceof Fact.BlockUsed used
                    && !used.received().model().equals(expected.get(used.attempt()))) {
                breaches.add(new Breach(
                        timed,
                        used.attempt() + " used a block of " + used.received().model()));
            } else if (timed.fact() instanceof Fact.Answered answer && answer.attempt() != null) {
                ModelRef version = ran.get(answer.attempt());
                if (version == null || !version.equals(expected.get(answer.attempt()))) {
                    breaches.add(new Breach(timed, answer.attempt() + " was answered by " + version));
                }
            }
        }
        return breaches;
    }

    /** P1: a block that is used is committed, not freed, and equals its reference in every field. */
    static List<Breach> noFreedOrPartialBlock(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Set<Copy> unreadable = new HashSet<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.BlockWriteBegun begun) {
                unreadable.add(new Copy(begun.store(), begun.key(), begun.generation()));
            } else if (timed.fact() instanceof Fact.BlockCommitted committed) {
                unreadable.remove(Copy.of(committed.block()));
            } else if (timed.fact() instanceof Fact.BlockFreed freed) {
                unreadable.add(new Copy(freed.store(), freed.key(), freed.generation()));
            } else if (timed.fact() instanceof Fact.BlockUsed used) {
                check(used, unreadable, timed, breaches);
            }
        }
        return breaches;
    }

    private static void check(Fact.BlockUsed used, Set<Copy> unreadable, TimedFact timed, List<Breach> breaches) {
        BlockRef expected = used.expected();
        boolean same = used.received().equals(expected.identity())
                && used.generation() == expected.generation()
                && used.lengthBytes() == expected.lengthBytes()
                && used.checksum() == expected.checksum();
        if (!same) {
            breaches.add(new Breach(timed, used.attempt() + " used data that differs from its reference"));
        }
        if (unreadable.contains(Copy.of(expected))) {
            breaches.add(new Breach(timed, used.attempt() + " used a block that was freed or not committed"));
        }
    }

    private record Copy(StoreId store, BlockKey key, long generation) {
        static Copy of(BlockRef ref) {
            return new Copy(ref.store(), ref.identity().key(), ref.generation());
        }
    }
}
