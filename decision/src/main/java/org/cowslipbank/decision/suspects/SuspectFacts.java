package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.UpstreamId;

/**
 * The known crash and clear facts and the verdicts that follow from them. Immutable. Times are wall-clock times, because
 * nodes exchange facts; a clock skew of a few hundred milliseconds does no harm.
 */
public final class SuspectFacts {
    /** Lifetime of a fact; longer than callers usually retry a failed request. */
    public static final long FACT_TTL_MILLIS = 600_000;

    /** No facts. */
    public static final SuspectFacts NONE = new SuspectFacts(Set.of(), Set.of());

    /** The verdict on a fingerprint as a decision that can be recorded and replayed. */
    public static final Decision<Input, SuspectVerdict> DECISION =
            new Decision<>("suspect", Input.class, SuspectVerdict.class, input -> NONE.merge(
                            input.crashes(), input.clears(), input.nowMillis())
                    .verdict(input.fingerprint()));

    private final Set<CrashFact> crashes;
    private final Set<ClearFact> clears;
    private final Map<Long, SuspectVerdict> verdicts;

    private SuspectFacts(Set<CrashFact> crashes, Set<ClearFact> clears) {
        this.crashes = Set.copyOf(crashes);
        this.clears = Set.copyOf(clears);
        this.verdicts = VerdictCalculator.derive(this.crashes, this.clears);
    }

    /**
     * Input of the decision.
     *
     * @param crashes crash facts
     * @param clears clear facts
     * @param fingerprint the fingerprint in question
     * @param nowMillis the wall-clock time in milliseconds
     */
    public record Input(List<CrashFact> crashes, List<ClearFact> clears, long fingerprint, long nowMillis) {
        /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
        public Input {
            crashes = List.copyOf(crashes);
            clears = List.copyOf(clears);
        }
    }

    /**
     * Adds facts and drops expired ones. Merging is commutative and idempotent.
     *
     * @param moreCrashes crash facts to add
     * @param moreClears clear facts to add
     * @param nowMillis the wall-clock time in milliseconds
     * @return the merged facts
     */
    public SuspectFacts merge(Collection<CrashFact> moreCrashes, Collection<ClearFact> moreClears, long nowMillis) {
        Set<CrashFact> allCrashes = new HashSet<>(crashes);
        Set<ClearFact> allClears = new HashSet<>(clears);
        allCrashes.addAll(moreCrashes);
        allClears.addAll(moreClears);
        allCrashes.removeIf(fact -> fact.expiresAtMillis() <= nowMillis);
        allClears.removeIf(fact -> fact.expiresAtMillis() <= nowMillis);
        boolean unchanged = allCrashes.equals(crashes) && allClears.equals(clears);
        return unchanged ? this : new SuspectFacts(allCrashes, allClears);
    }

    /**
     * Records a crash for the requests in flight at the upstream.
     *
     * @param upstream the crashed upstream
     * @param inFlight fingerprints of this node's requests in flight there
     * @param nowMillis the wall-clock time in milliseconds
     * @return these facts with the new ones
     */
    public SuspectFacts withCrash(UpstreamId upstream, Collection<Long> inFlight, long nowMillis) {
        List<CrashFact> facts = new ArrayList<>();
        inFlight.forEach(
                fingerprint -> facts.add(new CrashFact(fingerprint, upstream, nowMillis, nowMillis + FACT_TTL_MILLIS)));
        return merge(facts, List.of(), nowMillis);
    }

    /**
     * Records that a request finished normally. Nothing is stored for a request without a crash fact.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis the wall-clock time in milliseconds
     * @return these facts, with a clear fact if the request has a crash fact
     */
    public SuspectFacts withFinished(long fingerprint, long nowMillis) {
        if (crashes.stream().noneMatch(fact -> fact.fingerprint() == fingerprint)) {
            return this;
        }
        ClearFact fact = new ClearFact(fingerprint, nowMillis, nowMillis + FACT_TTL_MILLIS);
        return merge(List.of(), List.of(fact), nowMillis);
    }

    /**
     * Returns the verdict on a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the verdict; {@link SuspectVerdict#CLEAR} if no fact mentions the request
     */
    public SuspectVerdict verdict(long fingerprint) {
        return verdicts.getOrDefault(fingerprint, SuspectVerdict.CLEAR);
    }

    /**
     * Returns whether a request was in flight at a crash of an upstream.
     *
     * @param fingerprint the request's fingerprint
     * @param upstream the upstream
     * @return true if a crash fact says so
     */
    public boolean wasInFlightAtCrash(long fingerprint, UpstreamId upstream) {
        return crashes.stream()
                .anyMatch(fact ->
                        fact.fingerprint() == fingerprint && fact.upstream().equals(upstream));
    }

    /**
     * Returns the crash facts, for sending to other nodes.
     *
     * @return the crash facts
     */
    public Set<CrashFact> crashes() {
        return crashes;
    }

    /**
     * Returns the clear facts, for sending to other nodes.
     *
     * @return the clear facts
     */
    public Set<ClearFact> clears() {
        return clears;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SuspectFacts facts && crashes.equals(facts.crashes) && clears.equals(facts.clears);
    }

    @Override
    public int hashCode() {
        return 31 * crashes.hashCode() + clears.hashCode();
    }
}
