package org.cowslipbank.decision.suspects;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a request that is refused because of crashes is sent all the same, as a probe. What is refused is in no
 * answer that could clear it, so a sound prompt part that was at three breaks by chance would stay refused until its reports
 * lapse. Probes become rarer, because a cause of crashes costs an upstream each time. Confined to the traffic thread of the
 * one node that probes.
 */
public final class RefusalProbes {
    /** Time from the first refusal to the first probe. */
    static final long FIRST_PROBE_MILLIS = 5_000;

    /** Factor between the waits for one probe and the next. */
    static final int BACKOFF = 4;

    private final Map<String, Probes> bySuspect = new HashMap<>();

    /** When the next probe of a suspect is due, and how long to wait for the one after it. */
    private record Probes(long dueMillis, long nextWaitMillis) {}

    /**
     * Decides whether a refused request is sent as a probe, and counts it if so.
     *
     * @param suspects identifiers of the request's suspects that are refused
     * @param refused identifiers of all suspects that are refused
     * @param nowMillis the time in milliseconds
     * @return true if a probe of each of them is due
     */
    public boolean mayProbe(Set<String> suspects, Set<String> refused, long nowMillis) {
        bySuspect.keySet().retainAll(refused);
        boolean due = true;
        for (String suspect : suspects) {
            Probes probes = bySuspect.computeIfAbsent(
                    suspect, key -> new Probes(nowMillis + FIRST_PROBE_MILLIS, BACKOFF * FIRST_PROBE_MILLIS));
            due &= nowMillis >= probes.dueMillis();
        }
        if (due) {
            suspects.forEach(suspect -> bySuspect.computeIfPresent(
                    suspect,
                    (key, probes) ->
                            new Probes(nowMillis + probes.nextWaitMillis(), BACKOFF * probes.nextWaitMillis())));
        }
        return due;
    }
}
