package org.cowslipbank.decision.suspects;

import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;

final class RefusalProbesTest {
    private static final Set<String> PART = Set.of("part");

    /** Time for which reports on crashes count. */
    private static final long REPORT_TTL_MILLIS = CrashEvidence.REPORT_TTL_MILLIS;

    /** Requests that crash upstreams and may reach one after the fifth crash; stated by the platform's rules. */
    private static final int MAX_AFTER_FIFTH_CRASH = 3;

    private final RefusalProbes probes = new RefusalProbes();

    private boolean mayProbe(Set<String> suspects, Set<String> refused, long nowMillis) {
        return !probes.takeProbe(suspects, refused, nowMillis).isEmpty();
    }

    /** Failure guarded against: probes of a part that does crash upstreams cost more of them than the rules allow. */
    @Example
    void probesAreFew() {
        int sent = 0;
        for (long nowMillis = 0; nowMillis < REPORT_TTL_MILLIS; nowMillis += 50) {
            sent += mayProbe(PART, PART, nowMillis) ? 1 : 0;
        }
        assert sent > 0 && sent <= MAX_AFTER_FIFTH_CRASH : sent;
    }

    /** Failure guarded against: each new leader probes as if none had probed before. */
    @Example
    void probesOfAllLeadersAreFew() {
        int sent = 0;
        RefusalProbes leader = new RefusalProbes();
        Map<String, Long> told = Map.of();
        for (long nowMillis = 0; nowMillis < REPORT_TTL_MILLIS; nowMillis += 50) {
            if (nowMillis % 20_000 == 0) {
                leader = new RefusalProbes();
                leader.onTold(told, nowMillis);
            }
            Map<String, Long> probed = leader.takeProbe(PART, PART, nowMillis);
            if (!probed.isEmpty()) {
                told = probed;
                sent++;
            }
        }
        assert sent > 0 && sent <= MAX_AFTER_FIFTH_CRASH : sent;
    }

    /** Failure guarded against: the first request after a refusal is a probe. */
    @Example
    void firstProbeWaits() {
        assert !mayProbe(PART, PART, 0);
        assert !mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS - 1);
        assert mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS);
        assert !mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS + 1);
    }

    /** Failure guarded against: a part that was cleared and is refused again is probed as if nothing had happened. */
    @Example
    void probesStartAnewAfterAClearance() {
        mayProbe(PART, PART, 0);
        mayProbe(Set.of("other"), Set.of("other"), 1_000);
        assert !mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS);
    }

    /** Failure guarded against: a request with a cause of crashes is sent because its other suspect is due. */
    @Example
    void allSuspectsMustBeDue() {
        Set<String> both = Set.of("part", "other");
        mayProbe(PART, both, 0);
        assert !mayProbe(both, both, RefusalProbes.FIRST_PROBE_MILLIS);
        assert mayProbe(PART, both, RefusalProbes.FIRST_PROBE_MILLIS);
    }
}
