package org.cowslipbank.entry.suspects;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.model.UpstreamId;

/** The grants that this node holds. Any thread may call it. */
final class Grants {
    private final Map<Long, Held> held = new ConcurrentHashMap<>();

    /**
     * A grant held.
     *
     * @param upstream the upstream
     * @param alone true if nothing else may run there
     * @param untilMillis monotonic time at which it lapses
     * @param onLapsed cancels the run
     */
    record Held(UpstreamId upstream, boolean alone, long untilMillis, Runnable onLapsed) {
        Held renewed(long askedMillis) {
            return new Held(upstream, alone, askedMillis + SuspectArbiter.LEASE_MILLIS, onLapsed);
        }
    }

    void granted(long fingerprint, SuspectArbiter.Answer answer, long askedMillis, Runnable onLapsed) {
        long untilMillis = askedMillis + SuspectArbiter.LEASE_MILLIS;
        held.put(fingerprint, new Held(answer.upstream(), answer.alone(), untilMillis, onLapsed));
    }

    Held ended(long fingerprint) {
        return held.remove(fingerprint);
    }

    void renewed(long fingerprint, long askedMillis) {
        held.computeIfPresent(fingerprint, (print, grant) -> grant.renewed(askedMillis));
    }

    Map<Long, Held> all() {
        return Map.copyOf(held);
    }

    List<Held> takeLapsed(long nowMillis) {
        List<Held> lapsed = new ArrayList<>();
        all().forEach((print, grant) -> {
            if (grant.untilMillis() <= nowMillis && held.remove(print, grant)) {
                lapsed.add(grant);
            }
        });
        return lapsed;
    }
}
