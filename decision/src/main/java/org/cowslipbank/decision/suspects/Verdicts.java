package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Derives verdicts from the facts. */
final class Verdicts {
    /** Reports about one upstream closer together than this belong to one crash; nodes detect it at different times. */
    static final long SAME_CRASH_MILLIS = 5_000;

    /** Crashes closer together than this count as one failure of the infrastructure. */
    static final long WIDESPREAD_MILLIS = 2_000;

    /** Upstreams that crash together in a failure of the infrastructure; one request reaches at most two. */
    static final int WIDESPREAD_UPSTREAMS = 3;

    /** Crashes after which a request is refused. */
    static final int REFUSED_CRASHES = 2;

    private Verdicts() {}

    static Map<Long, SuspectVerdict> of(Set<CrashFact> crashFacts, Set<ClearFact> clearFacts) {
        List<Crash> crashes = crashes(crashFacts, clearFacts);
        Map<Long, Integer> counts = new HashMap<>();
        crashes.forEach(crash -> crash.fingerprints().forEach(print -> counts.merge(print, 1, Integer::sum)));
        Map<Long, SuspectVerdict> verdicts = new HashMap<>();
        for (Crash crash : crashes) {
            boolean explained = crash.fingerprints().stream().anyMatch(print -> counts.get(print) >= REFUSED_CRASHES);
            boolean suspicious = !explained && !isWidespread(crash, crashes);
            for (long print : crash.fingerprints()) {
                if (counts.get(print) >= REFUSED_CRASHES) {
                    verdicts.put(print, SuspectVerdict.REFUSED);
                } else if (suspicious) {
                    verdicts.put(print, SuspectVerdict.SUSPECT);
                }
            }
        }
        return Map.copyOf(verdicts);
    }

    private static boolean isWidespread(Crash crash, List<Crash> crashes) {
        long near = crashes.stream()
                .filter(other -> Math.abs(other.firstMillis() - crash.firstMillis()) <= WIDESPREAD_MILLIS)
                .map(Crash::upstream)
                .distinct()
                .count();
        return near >= WIDESPREAD_UPSTREAMS;
    }

    // Sorting makes the grouping independent of the order in which facts arrived.
    private static List<Crash> crashes(Set<CrashFact> crashFacts, Set<ClearFact> clearFacts) {
        Map<Long, Long> clearedAtMillis = new HashMap<>();
        clearFacts.forEach(fact -> clearedAtMillis.merge(fact.fingerprint(), fact.atMillis(), Math::max));
        List<CrashFact> sorted = new ArrayList<>(crashFacts);
        sorted.sort(Comparator.comparing(CrashFact::upstream).thenComparing(CrashFact::atMillis));
        List<Crash> crashes = new ArrayList<>();
        CrashFact previous = null;
        for (CrashFact fact : sorted) {
            boolean same = previous != null
                    && previous.upstream().equals(fact.upstream())
                    && fact.atMillis() - previous.atMillis() <= SAME_CRASH_MILLIS;
            if (!same) {
                crashes.add(new Crash(fact.upstream(), fact.atMillis(), new HashSet<>()));
            }
            if (clearedAtMillis.getOrDefault(fact.fingerprint(), Long.MIN_VALUE) < fact.atMillis()) {
                crashes.get(crashes.size() - 1).fingerprints().add(fact.fingerprint());
            }
            previous = fact;
        }
        return crashes;
    }
}
