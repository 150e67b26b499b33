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

/** Invariants on the use of retained blocks. */
final class BlockRules {
    private BlockRules() {}

    /** Promise P2: a request uses only blocks of its own team. */
    static List<Breach> noCrossTeamBlock(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<RequestId, TeamId> teams = new HashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.RequestStarted started) {
                teams.put(started.request(), started.team());
            } else if (timed.event() instanceof TraceEvent.BlockUsed used
                    && !used.received().team().equals(teams.get(used.request()))) {
                breaches.add(new Breach(
                        timed,
                        used.request() + " of " + teams.get(used.request()) + " used a block of "
                                + used.received().team()));
            }
        }
        return breaches;
    }

    /** Promise P3: an attempt uses only blocks of the version it requires, and that version generates its answer. */
    static List<Breach> noForeignWeightVersion(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<AttemptId, ModelRef> expected = new HashMap<>();
        Map<AttemptId, ModelRef> ran = new HashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.AttemptSent sent && sent.expected() != null) {
                expected.put(sent.attempt(), sent.expected());
            } else if (timed.event() instanceof TraceEvent.AttemptRan run) {
                ran.put(run.attempt(), run.ran());
            } else if (timed.event() instanceof TraceEvent.BlockUsed used
                    && !used.received().model().equals(expected.get(used.attempt()))) {
                breaches.add(new Breach(
                        timed,
                        used.attempt() + " used a block of " + used.received().model()));
            } else if (timed.event() instanceof TraceEvent.Answered answer && answer.attempt() != null) {
                ModelRef version = ran.get(answer.attempt());
                if (version == null || !version.equals(expected.get(answer.attempt()))) {
                    breaches.add(new Breach(timed, answer.attempt() + " was answered by " + version));
                }
            }
        }
        return breaches;
    }

    /** Promise P1: a used block is committed, not freed, and equals its reference in every field. */
    static List<Breach> noFreedOrPartialBlock(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Set<StoredCopy> notReadable = new HashSet<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.BlockWriteBegun begun) {
                notReadable.add(new StoredCopy(begun.store(), begun.key(), begun.generation()));
            } else if (timed.event() instanceof TraceEvent.BlockCommitted committed) {
                notReadable.remove(StoredCopy.of(committed.block()));
            } else if (timed.event() instanceof TraceEvent.BlockFreed freed) {
                notReadable.add(new StoredCopy(freed.store(), freed.key(), freed.generation()));
            } else if (timed.event() instanceof TraceEvent.BlockUsed used) {
                checkUsedBlock(used, notReadable, timed, breaches);
            }
        }
        return breaches;
    }

    private static void checkUsedBlock(
            TraceEvent.BlockUsed used, Set<StoredCopy> notReadable, TimedEvent timed, List<Breach> breaches) {
        BlockRef expected = used.expected();
        boolean same = used.received().equals(expected.identity())
                && used.generation() == expected.generation()
                && used.lengthBytes() == expected.lengthBytes()
                && used.checksum() == expected.checksum();
        if (!same) {
            breaches.add(new Breach(timed, used.attempt() + " used a block that differs from its reference"));
        }
        if (notReadable.contains(StoredCopy.of(expected))) {
            breaches.add(new Breach(timed, used.attempt() + " used a block that was freed or not committed"));
        }
    }

    /** Key of one stored copy of a block. */
    private record StoredCopy(StoreId store, BlockKey key, long generation) {
        static StoredCopy of(BlockRef ref) {
            return new StoredCopy(ref.store(), ref.identity().key(), ref.generation());
        }
    }
}
