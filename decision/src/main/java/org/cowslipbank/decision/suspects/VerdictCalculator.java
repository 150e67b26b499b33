package org.cowslipbank.decision.suspects;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Derives the verdict on each request from crash and clear facts. */
final class VerdictCalculator {
    /** Reports on one upstream with at most this gap belong to one crash, since nodes detect it at different times. */
    static final long SAME_CRASH_MAX_GAP_MILLIS = 5_000;

    /** Window in which crashes of several upstreams count as one infrastructure failure. */
    static final long WIDESPREAD_WINDOW_MILLIS = 2_000;

    /** Upstreams that crash within the window in an infrastructure failure; one request crashes at most two. */
    static final int WIDESPREAD_MIN_UPSTREAMS = 3;

    /** Number of crashes after which a request is refused. */
    static final int CRASHES_UNTIL_REFUSED = 2;

    private VerdictCalculator() {}

    static Map<Long, SuspectVerdict> derive(Set<CrashFact> crashFacts, Set<ClearFact> clearFacts) {
        List<Crash> crashes = groupByCrash(crashFacts, clearFacts);
        Map<Long, Integer> counts = new HashMap<>();
        crashes.forEach(
                crash -> crash.fingerprints().forEach(fingerprint -> counts.merge(fingerprint, 1, Integer::sum)));
        Map<Long, SuspectVerdict> verdicts = new HashMap<>();
        for (Crash crash : crashes) {
            // A request that was in flight at two crashes is taken as the cause of both.
            boolean explained = crash.fingerprints().stream()
                    .anyMatch(fingerprint -> counts.get(fingerprint) >= CRASHES_UNTIL_REFUSED);
            boolean unexplained = !explained && !isWidespread(crash, crashes);
            for (long fingerprint : crash.fingerprints()) {
                if (counts.get(fingerprint) >= CRASHES_UNTIL_REFUSED) {
                    verdicts.put(fingerprint, SuspectVerdict.REFUSED);
                } else if (unexplained) {
                    verdicts.put(fingerprint, SuspectVerdict.SUSPECT);
                }
            }
        }
        return Map.copyOf(verdicts);
    }

    private static boolean isWidespread(Crash crash, List<Crash> crashes) {
        long crashedUpstreams = crashes.stream()
                .filter(other ->
                        Math.abs(other.firstDetectedMillis() - crash.firstDetectedMillis()) <= WIDESPREAD_WINDOW_MILLIS)
                .map(Crash::upstream)
                .distinct()
                .count();
        return crashedUpstreams >= WIDESPREAD_MIN_UPSTREAMS;
    }

    // Sorting makes the grouping independent of the order in which the facts arrived.
    private static List<Crash> groupByCrash(Set<CrashFact> crashFacts, Set<ClearFact> clearFacts) {
        Map<Long, Long> lastClearedMillis = new HashMap<>();
        clearFacts.forEach(fact -> lastClearedMillis.merge(fact.fingerprint(), fact.atMillis(), Math::max));
        List<CrashFact> sorted = new ArrayList<>(crashFacts);
        sorted.sort(Comparator.comparing(CrashFact::upstream).thenComparing(CrashFact::atMillis));
        List<Crash> crashes = new ArrayList<>();
        CrashFact previous = null;
        for (CrashFact fact : sorted) {
            boolean sameCrash = previous != null
                    && previous.upstream().equals(fact.upstream())
                    && fact.atMillis() - previous.atMillis() <= SAME_CRASH_MAX_GAP_MILLIS;
            if (!sameCrash) {
                crashes.add(new Crash(fact.upstream(), fact.atMillis(), new HashSet<>()));
            }
            if (lastClearedMillis.getOrDefault(fact.fingerprint(), Long.MIN_VALUE) < fact.atMillis()) {
                crashes.get(crashes.size() - 1).fingerprints().add(fact.fingerprint());
            }
            previous = fact;
        }
        return crashes;
    }
}
