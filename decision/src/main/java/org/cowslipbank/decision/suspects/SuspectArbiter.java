package org.cowslipbank.decision.suspects;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Grants suspects their next run, one per upstream at a time. Not thread-safe: only the control loop calls it. */
public final class SuspectArbiter {
    /** Lease period of a grant; the holder renews it while the run goes on. */
    public static final long LEASE_MILLIS = 5_000;

    /** Delay before a node that got {@link Verdict#WAIT} asks again. */
    static final long ASK_AGAIN_MILLIS = 100;

    private final Map<UpstreamId, Grant> grants = new HashMap<>();
    private final Map<Long, Waiter> waiters = new HashMap<>();
    private final long readyAtMillis;

    /**
     * Creates an arbiter. Grants of an earlier arbiter may still be valid, so it grants nothing for one lease period.
     *
     * @param startMillis the time at which this node became the arbiter, in milliseconds
     */
    public SuspectArbiter(long startMillis) {
        this.readyAtMillis = startMillis + LEASE_MILLIS;
    }

    private record Grant(long fingerprint, VmId holder, long expiresAtMillis) {}

    private record Waiter(int emittedTokens, long expiresAtMillis) {}

    /** What the asking node may do with a suspect. */
    public enum Verdict {
        /** Run it on the given upstream and renew the grant while it runs. */
        RUN,
        /** Do not run it; ask again later. */
        WAIT,
        /** It is no longer a suspect and needs no grant. */
        FREE,
        /** It is refused on every node. */
        REFUSE
    }

    /**
     * An upstream that a suspect could run on.
     *
     * @param upstream the upstream
     * @param inFlight number of requests in flight there
     */
    public record Candidate(UpstreamId upstream, int inFlight) {}

    /**
     * A node's request for a run.
     *
     * @param fingerprint the suspect's fingerprint
     * @param node the node that asks
     * @param candidates upstreams that accept new work
     * @param emittedTokens number of tokens that the request had emitted when its upstream crashed
     * @param noCopyElsewhere true once the guards of all regions have merged the facts and have no copy in flight
     */
    public record Question(
            long fingerprint, VmId node, List<Candidate> candidates, int emittedTokens, boolean noCopyElsewhere) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Question {
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * The arbiter's answer.
     *
     * @param verdict the verdict
     * @param upstream where to run the suspect; null unless the verdict is {@link Verdict#RUN}
     * @param alone true if the upstream is idle; no other request may be sent there until the run ends
     * @param askAgainMillis for {@link Verdict#WAIT}, the delay in milliseconds before asking again; otherwise zero
     */
    public record Answer(Verdict verdict, UpstreamId upstream, boolean alone, long askAgainMillis) {}

    /**
     * Requests a run. Suspects that had emitted the fewest tokens come first: a request that crashes engines usually
     * does so early, and once it is refused the other suspects of its crash are cleared.
     *
     * @param question the request for a run
     * @param facts the arbiter's crash and clear facts
     * @param nowMillis the time in milliseconds
     * @return the answer
     */
    public Answer ask(Question question, SuspectFacts facts, long nowMillis) {
        long fingerprint = question.fingerprint();
        SuspectVerdict verdict = facts.verdict(fingerprint);
        if (verdict != SuspectVerdict.SUSPECT) {
            waiters.remove(fingerprint);
            Verdict answer = verdict == SuspectVerdict.CLEAR ? Verdict.FREE : Verdict.REFUSE;
            return new Answer(answer, null, false, 0);
        }
        grants.values().removeIf(grant -> grant.expiresAtMillis() <= nowMillis);
        waiters.values().removeIf(waiter -> waiter.expiresAtMillis() <= nowMillis);
        waiters.put(fingerprint, new Waiter(question.emittedTokens(), nowMillis + 3 * ASK_AGAIN_MILLIS));
        boolean alreadyGranted = grants.values().stream().anyMatch(grant -> grant.fingerprint() == fingerprint);
        if (alreadyGranted || !question.noCopyElsewhere() || nowMillis < readyAtMillis) {
            return waitAnswer();
        }
        Optional<Candidate> chosen = chooseUpstream(question, facts);
        if (chosen.isEmpty() || !hasFewestTokens(question)) {
            return waitAnswer();
        }
        UpstreamId upstream = chosen.get().upstream();
        grants.put(upstream, new Grant(fingerprint, question.node(), nowMillis + LEASE_MILLIS));
        waiters.remove(fingerprint);
        return new Answer(Verdict.RUN, upstream, chosen.get().inFlight() == 0, 0);
    }

    /**
     * Reserves an upstream at which copies of a suspect, sent before it became a suspect, are still in flight. No other
     * suspect is granted a run there for one lease period, because a crash would count against both.
     *
     * @param upstream the upstream
     * @param fingerprint the suspect's fingerprint
     * @param guard the guard that reports the copies
     * @param nowMillis the time in milliseconds
     */
    public void reserveForCopies(UpstreamId upstream, long fingerprint, VmId guard, long nowMillis) {
        grants.putIfAbsent(upstream, new Grant(fingerprint, guard, nowMillis + LEASE_MILLIS));
    }

    /**
     * Renews a grant for another lease period.
     *
     * @param fingerprint the suspect's fingerprint
     * @param node the node that holds the grant
     * @param nowMillis the time in milliseconds
     * @return false if the grant has expired; the holder must then cancel the run
     */
    public boolean renew(long fingerprint, VmId node, long nowMillis) {
        for (Map.Entry<UpstreamId, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            boolean own = grant.fingerprint() == fingerprint && grant.holder().equals(node);
            if (own && grant.expiresAtMillis() > nowMillis) {
                entry.setValue(new Grant(fingerprint, node, nowMillis + LEASE_MILLIS));
                return true;
            }
        }
        return false;
    }

    /**
     * Releases the grant of a run that has ended.
     *
     * @param fingerprint the suspect's fingerprint
     * @param node the node that holds the grant
     */
    public void releaseGrant(long fingerprint, VmId node) {
        grants.values()
                .removeIf(grant ->
                        grant.fingerprint() == fingerprint && grant.holder().equals(node));
    }

    /**
     * Records the crash of an upstream for the suspect that was granted a run there, because the node that holds the
     * grant may be dead too.
     *
     * @param upstream the crashed upstream
     * @param facts the arbiter's crash and clear facts
     * @param nowMillis the wall-clock time in milliseconds
     * @return the facts with the crash, or unchanged if no suspect was granted the upstream
     */
    public SuspectFacts recordCrash(UpstreamId upstream, SuspectFacts facts, long nowMillis) {
        Grant grant = grants.remove(upstream);
        return grant == null ? facts : facts.withCrash(upstream, List.of(grant.fingerprint()), nowMillis);
    }

    private Optional<Candidate> chooseUpstream(Question question, SuspectFacts facts) {
        Comparator<Candidate> order = Comparator.comparing(
                (Candidate candidate) -> facts.wasInFlightAtCrash(question.fingerprint(), candidate.upstream()));
        return question.candidates().stream()
                .filter(candidate -> !grants.containsKey(candidate.upstream()))
                .min(order.thenComparing(Candidate::inFlight).thenComparing(Candidate::upstream));
    }

    private boolean hasFewestTokens(Question question) {
        return waiters.values().stream().allMatch(waiter -> waiter.emittedTokens() >= question.emittedTokens());
    }

    private static Answer waitAnswer() {
        return new Answer(Verdict.WAIT, null, false, ASK_AGAIN_MILLIS);
    }
}
