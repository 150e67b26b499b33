package org.cowslipbank.decision.suspects;

import java.util.Set;

import net.jqwik.api.Example;

final class RefusalProbesTest {
    private static final Set<String> PART = Set.of("part");

    /** Time for which reports on crashes count. */
    private static final long REPORT_TTL_MILLIS = CrashEvidence.REPORT_TTL_MILLIS;

    /** Requests that crash upstreams and may reach one after the part is refused; stated by the platform's rules. */
    private static final int MAX_AFTER_FIFTH_CRASH = 3;

    private final RefusalProbes probes = new RefusalProbes();

    /** Failure guarded against: probes of a part that does crash upstreams cost more of them than the rules allow. */
    @Example
    void probesAreFew() {
        int sent = 0;
        for (long nowMillis = 0; nowMillis < REPORT_TTL_MILLIS; nowMillis += 50) {
            sent += probes.mayProbe(PART, PART, nowMillis) ? 1 : 0;
        }
        assert sent > 0 && sent <= MAX_AFTER_FIFTH_CRASH + 1 : sent;
    }

    /** Failure guarded against: the first request after a refusal is a probe. */
    @Example
    void firstProbeWaits() {
        assert !probes.mayProbe(PART, PART, 0);
        assert !probes.mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS - 1);
        assert probes.mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS);
        assert !probes.mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS + 1);
    }

    /** Failure guarded against: a part that was cleared and is refused again is probed as if nothing had happened. */
    @Example
    void probesStartAnewAfterAClearance() {
        probes.mayProbe(PART, PART, 0);
        probes.mayProbe(Set.of("other"), Set.of("other"), 1_000);
        assert !probes.mayProbe(PART, PART, RefusalProbes.FIRST_PROBE_MILLIS);
    }

    /** Failure guarded against: a request with a cause of crashes is sent because its other suspect is due. */
    @Example
    void allSuspectsMustBeDue() {
        Set<String> both = Set.of("part", "other");
        probes.mayProbe(PART, both, 0);
        assert !probes.mayProbe(both, both, RefusalProbes.FIRST_PROBE_MILLIS);
        assert probes.mayProbe(PART, both, RefusalProbes.FIRST_PROBE_MILLIS);
    }
}
