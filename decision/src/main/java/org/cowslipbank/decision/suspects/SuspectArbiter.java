package org.cowslipbank.decision.suspects;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Grants suspects their next run, one to an upstream at a time. Not thread-safe: the control loop calls it. */
public final class SuspectArbiter {
    /** How long a grant lasts unless its holder renews it, in milliseconds. */
    public static final long LEASE_MILLIS = 5_000;

    /** When a waiting node asks again, in milliseconds. */
    static final long ASK_AGAIN_MILLIS = 100;

    private final Map<UpstreamId, Grant> grants = new HashMap<>();
    private final Map<Long, Asker> askers = new HashMap<>();
    private final long readyAtMillis;

    /**
     * Creates an arbiter. Grants of an earlier arbiter may still be in use, so it grants nothing for one lease period.
     *
     * @param startMillis the time at which this node became the arbiter, in milliseconds
     */
    public SuspectArbiter(long startMillis) {
        this.readyAtMillis = startMillis + LEASE_MILLIS;
    }

    private record Grant(long fingerprint, VmId holder, long untilMillis) {}

    private record Asker(int emittedTokens, long untilMillis) {}

    /** What a node may do with a suspect. */
    public enum Verdict {
        /** Run it at the named upstream; renew while it runs. */
        RUN,
        /** Ask again later; nothing runs. */
        WAIT,
        /** It is not a suspect any more. */
        FREE,
        /** It is refused everywhere. */
        REFUSE
    }

    /**
     * An upstream that a suspect could run on.
     *
     * @param upstream the upstream
     * @param inFlight requests in flight there
     */
    public record Candidate(UpstreamId upstream, int inFlight) {}

    /**
     * A node's question.
     *
     * @param fingerprint the suspect's fingerprint
     * @param node the node that asks
     * @param candidates upstreams that take new work
     * @param emittedTokens tokens that the request had emitted
     * @param noCopyElsewhere true once the guards of all regions hold the facts and have no copy in flight
     */
    public record Question(
            long fingerprint, VmId node, List<Candidate> candidates, int emittedTokens, boolean noCopyElsewhere) {
        /** Copies the list. */
        public Question {
            candidates = List.copyOf(candidates);
        }
    }

    /**
     * Answer of the arbiter.
     *
     * @param verdict the verdict
     * @param upstream where to run it; null unless the verdict is {@link Verdict#RUN}
     * @param alone true if the upstream is idle; nothing else is sent there until the run ends
     * @param askAgainMillis for {@link Verdict#WAIT}, when to ask again in milliseconds
     */
    public record Answer(Verdict verdict, UpstreamId upstream, boolean alone, long askAgainMillis) {}

    /**
     * Asks for a run. Suspects that had emitted the fewest tokens come first, since a request that crashes engines
     * usually does so early and its conviction clears all others.
     *
     * @param question the question
     * @param facts what the arbiter knows of crashes
     * @param nowMillis the time in milliseconds
     * @return the answer
     */
    public Answer ask(Question question, SuspectFacts facts, long nowMillis) {
        long fingerprint = question.fingerprint();
        SuspectVerdict verdict = facts.verdict(fingerprint);
        if (verdict != SuspectVerdict.SUSPECT) {
            askers.remove(fingerprint);
            Verdict free = verdict == SuspectVerdict.CLEAR ? Verdict.FREE : Verdict.REFUSE;
            return new Answer(free, null, false, 0);
        }
        grants.values().removeIf(grant -> grant.untilMillis() <= nowMillis);
        askers.values().removeIf(asker -> asker.untilMillis() <= nowMillis);
        askers.put(fingerprint, new Asker(question.emittedTokens(), nowMillis + 3 * ASK_AGAIN_MILLIS));
        boolean granted = grants.values().stream().anyMatch(grant -> grant.fingerprint() == fingerprint);
        if (granted || !question.noCopyElsewhere() || nowMillis < readyAtMillis) {
            return waiting();
        }
        Optional<Candidate> chosen = choose(question, facts);
        if (chosen.isEmpty() || !isNext(question)) {
            return waiting();
        }
        UpstreamId upstream = chosen.get().upstream();
        grants.put(upstream, new Grant(fingerprint, question.node(), nowMillis + LEASE_MILLIS));
        askers.remove(fingerprint);
        return new Answer(Verdict.RUN, upstream, chosen.get().inFlight() == 0, 0);
    }

    /**
     * Renews a grant.
     *
     * @param fingerprint the fingerprint
     * @param node the holder
     * @param nowMillis the time in milliseconds
     * @return false if the grant has lapsed; the holder then cancels the run
     */
    public boolean renew(long fingerprint, VmId node, long nowMillis) {
        for (Map.Entry<UpstreamId, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            boolean own = grant.fingerprint() == fingerprint && grant.holder().equals(node);
            if (own && grant.untilMillis() > nowMillis) {
                entry.setValue(new Grant(fingerprint, node, nowMillis + LEASE_MILLIS));
                return true;
            }
        }
        return false;
    }

    /**
     * Returns a grant whose run has ended.
     *
     * @param fingerprint the fingerprint
     * @param node the holder
     */
    public void ended(long fingerprint, VmId node) {
        grants.values()
                .removeIf(grant ->
                        grant.fingerprint() == fingerprint && grant.holder().equals(node));
    }

    /**
     * Records the crash of an upstream for the suspect that was granted it, whose holder may be dead too.
     *
     * @param upstream the upstream
     * @param facts the facts
     * @param nowMillis the wall-clock time in milliseconds
     * @return the facts with the crash
     */
    public SuspectFacts upstreamCrashed(UpstreamId upstream, SuspectFacts facts, long nowMillis) {
        Grant grant = grants.remove(upstream);
        return grant == null ? facts : facts.crashed(upstream, List.of(grant.fingerprint()), nowMillis);
    }

    private Optional<Candidate> choose(Question question, SuspectFacts facts) {
        Comparator<Candidate> order = Comparator.comparing(
                (Candidate candidate) -> facts.sawCrash(question.fingerprint(), candidate.upstream()));
        return question.candidates().stream()
                .filter(candidate -> !grants.containsKey(candidate.upstream()))
                .min(order.thenComparing(Candidate::inFlight).thenComparing(Candidate::upstream));
    }

    private boolean isNext(Question question) {
        return askers.values().stream().allMatch(asker -> asker.emittedTokens() >= question.emittedTokens());
    }

    private static Answer waiting() {
        return new Answer(Verdict.WAIT, null, false, ASK_AGAIN_MILLIS);
    }
}
