package org.cowslipbank.decision.suspects;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a request that is refused because of crashes is sent all the same, as a probe. What is refused is in no
 * answer that could clear it, so a sound prompt part that was at three breaks by chance would stay refused until its reports
 * lapse. Probes become rarer, because a cause of crashes costs an upstream each time. Only the leader probes, and leaders
 * tell each other how many probes were sent, so that a new one does not begin anew. Thread-safe: used by the traffic thread
 * and the control thread.
 */
public final class RefusalProbes {
    /** Time from the first refusal to the first probe. */
    static final long FIRST_PROBE_MILLIS = 5_000;

    /** Factor between the waits for one probe and the next. */
    static final int BACKOFF = 6;

    private final Map<String, Probes> bySuspect = new HashMap<>();

    /** How many probes of a suspect were sent, and when the next one is due. */
    private record Probes(long sent, long dueMillis) {
        static Probes after(long sent, long nowMillis) {
            return new Probes(sent, nowMillis + FIRST_PROBE_MILLIS * (long) Math.pow(BACKOFF, sent));
        }
    }

    /**
     * Decides whether a refused request is sent as a probe, and counts it if so.
     *
     * @param suspects identifiers of the request's suspects that are refused
     * @param refused identifiers of all suspects that are refused
     * @param nowMillis the time in milliseconds
     * @return if a probe of each of them is due, the number of probes of each that were sent; otherwise empty
     */
    public synchronized Map<String, Long> takeProbe(Set<String> suspects, Set<String> refused, long nowMillis) {
        bySuspect.keySet().retainAll(refused);
        boolean due = true;
        for (String suspect : suspects) {
            due &= nowMillis
                    >= bySuspect
                            .computeIfAbsent(suspect, key -> Probes.after(0, nowMillis))
                            .dueMillis();
        }
        Map<String, Long> sent = new HashMap<>();
        if (due) {
            for (String suspect : suspects) {
                Probes probes = Probes.after(bySuspect.get(suspect).sent() + 1, nowMillis);
                bySuspect.put(suspect, probes);
                sent.put(suspect, probes.sent());
            }
        }
        return sent;
    }

    /**
     * Records the probes of an earlier leader.
     *
     * @param sentBySuspect the number of probes that were sent, by identifier of the suspect
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onTold(Map<String, Long> sentBySuspect, long nowMillis) {
        sentBySuspect.forEach((suspect, sent) -> {
            Probes known = bySuspect.get(suspect);
            if (known == null || known.sent() < sent) {
                bySuspect.put(suspect, Probes.after(sent, nowMillis));
            }
        });
    }
}
