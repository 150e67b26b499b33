package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

final class SuspectsTest {
    private static final UpstreamId A = new UpstreamId("a");
    private static final UpstreamId B = new UpstreamId("b");
    private static final UpstreamId C = new UpstreamId("c");
    private static final VmId NODE = new VmId("n1");
    private static final VmId OTHER = new VmId("n2");
    private static final long KILLER = 1;
    private static final long HARMLESS = 2;

    /** Failure guarded against: nodes that receive facts in different orders disagree on which requests are refused. */
    @Property(seed = "7", tries = 200)
    void mergeIsCommutativeAndIdempotent(@ForAll Random random) {
        List<CrashFact> crashes = new ArrayList<>();
        List<ClearFact> clears = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            UpstreamId upstream = List.of(A, B, C).get(random.nextInt(3));
            long atMillis = random.nextInt(30_000);
            crashes.add(new CrashFact(random.nextInt(4), upstream, atMillis, atMillis + 25_000));
            clears.add(new ClearFact(random.nextInt(4), atMillis, atMillis + 25_000));
        }
        SuspectFacts whole = SuspectFacts.NONE.merge(crashes, clears, 26_000);
        Collections.shuffle(crashes, random);
        SuspectFacts parts = SuspectFacts.NONE.merge(List.of(), clears, 1_000).merge(crashes.subList(5, 12), clears, 2);
        SuspectFacts shuffled = parts.merge(crashes, List.of(), 26_000).merge(crashes, clears, 26_000);
        assert shuffled.equals(whole);
        LongStream.range(0, 4).forEach(fingerprint -> {
            assert shuffled.verdict(fingerprint) == whole.verdict(fingerprint);
        });
    }

    /** Failure guarded against: a harmless request is refused because it shared an upstream with a crashing one. */
    @Example
    void refusalOfTheCulpritClearsOthersInFlight() {
        SuspectFacts facts = SuspectFacts.NONE.withCrash(A, List.of(KILLER, HARMLESS, 3L), 0);
        assert facts.verdict(HARMLESS) == SuspectVerdict.SUSPECT;
        assert facts.withFinished(HARMLESS, 10).verdict(HARMLESS) == SuspectVerdict.CLEAR;
        SuspectFacts second = facts.withCrash(B, List.of(KILLER, 4L), 10_000);
        assert second.verdict(KILLER) == SuspectVerdict.REFUSED;
        assert second.verdict(HARMLESS) == SuspectVerdict.CLEAR;
        assert second.verdict(4) == SuspectVerdict.CLEAR;
    }

    /** Failure guarded against: the loss of a data centre makes all its requests suspects. */
    @Example
    void widespreadCrashesMakeNoRequestASuspect() {
        SuspectFacts facts = SuspectFacts.NONE
                .withCrash(A, List.of(1L, 5L), 0)
                .withCrash(B, List.of(2L), 500)
                .withCrash(C, List.of(3L), 900);
        assert facts.verdict(1) == SuspectVerdict.CLEAR;
        assert facts.withCrash(new UpstreamId("d"), List.of(1L), 1_500).verdict(1) == SuspectVerdict.REFUSED;
    }

    /** Failure guarded against: a crash that two nodes detect at different times counts twice. */
    @Example
    void oneCrashDetectedTwiceCountsOnce() {
        SuspectFacts facts =
                SuspectFacts.NONE.withCrash(A, List.of(HARMLESS), 0).withCrash(A, List.of(HARMLESS), 3_000);
        assert facts.verdict(HARMLESS) == SuspectVerdict.SUSPECT;
    }

    /** Failure guarded against: copies sent to several nodes at once each crash an upstream. */
    @Example
    void copiesShareOneUpstreamUntilOneFinishes() {
        CopyGuard guard = new CopyGuard(60_000);
        AttemptId first = new AttemptId("r1.1");
        AttemptId second = new AttemptId("r2.1");
        assert send(guard, first, NODE, A).equals(A);
        assert send(guard, second, OTHER, B).equals(A);
        guard.recordEnd(KILLER, first, false);
        assert send(guard, first, NODE, B).equals(A);
        guard.recordEnd(KILLER, second, true);
        assert send(guard, second, OTHER, B).equals(B);
    }

    /** Failure guarded against: a copy reported again after a guard change stays in flight for ever. */
    @Example
    void restoredCopyIsCountedOnce() {
        CopyGuard guard = new CopyGuard(60_000);
        AttemptId attempt = new AttemptId("r1.1");
        send(guard, attempt, NODE, A);
        guard.recordInFlight(KILLER, attempt, NODE, A, 0);
        assert !guard.hasNoCopyInFlight(KILLER, 0);
        guard.recordEnd(KILLER, attempt, false);
        assert guard.hasNoCopyInFlight(KILLER, 0);
        guard.recordInFlight(KILLER, attempt, NODE, A, 0);
        guard.removeNode(NODE);
        assert guard.hasNoCopyInFlight(KILLER, 0);
    }

    private static UpstreamId send(CopyGuard guard, AttemptId attempt, VmId node, UpstreamId preferred) {
        return guard.ask(KILLER, attempt, node, preferred, SuspectFacts.NONE, 0).upstream();
    }

    /** Failure guarded against: two suspects share an upstream, so its crash counts against both. */
    @Example
    void upstreamRunsOneSuspectAtATime() {
        SuspectFacts facts = SuspectFacts.NONE.withCrash(A, List.of(KILLER, HARMLESS), 0);
        SuspectArbiter arbiter = new SuspectArbiter(0);
        assert ask(arbiter, KILLER, NODE, facts, 4_000).verdict() == SuspectArbiter.Verdict.WAIT;
        SuspectArbiter.Answer run = ask(arbiter, KILLER, NODE, facts, 5_000);
        assert run.verdict() == SuspectArbiter.Verdict.RUN && run.upstream().equals(B) && run.alone() : run;
        assert ask(arbiter, KILLER, OTHER, facts, 5_001).verdict() == SuspectArbiter.Verdict.WAIT;
        SuspectArbiter.Answer second = ask(arbiter, HARMLESS, NODE, facts, 6_000);
        assert !second.upstream().equals(B) : second;
        SuspectFacts after = arbiter.recordCrash(B, facts, 6_000);
        assert ask(arbiter, KILLER, OTHER, after, 6_001).verdict() == SuspectArbiter.Verdict.REFUSE;
        assert ask(arbiter, HARMLESS, OTHER, after, 6_001).verdict() == SuspectArbiter.Verdict.FREE;
    }

    /** Failure guarded against: a harmless suspect joins running copies of a crashing one and is refused with it. */
    @Example
    void copiesInFlightReserveTheirUpstream() {
        SuspectFacts facts = SuspectFacts.NONE.withCrash(A, List.of(KILLER, HARMLESS), 0);
        SuspectArbiter arbiter = new SuspectArbiter(-SuspectArbiter.LEASE_MILLIS);
        arbiter.reserveForCopies(B, KILLER, OTHER, 100);
        SuspectArbiter.Answer harmless = ask(arbiter, HARMLESS, NODE, facts, 200);
        assert !harmless.upstream().equals(B) : harmless;
        SuspectFacts after = arbiter.recordCrash(B, facts, 300);
        assert after.verdict(KILLER) == SuspectVerdict.REFUSED && after.verdict(HARMLESS) == SuspectVerdict.CLEAR;
    }

    private static SuspectArbiter.Answer ask(
            SuspectArbiter arbiter, long fingerprint, VmId node, SuspectFacts facts, long nowMillis) {
        List<SuspectArbiter.Candidate> candidates = List.of(
                new SuspectArbiter.Candidate(A, 0),
                new SuspectArbiter.Candidate(B, 0),
                new SuspectArbiter.Candidate(C, 5));
        return arbiter.ask(new SuspectArbiter.Question(fingerprint, node, candidates, 0, true), facts, nowMillis);
    }
}
