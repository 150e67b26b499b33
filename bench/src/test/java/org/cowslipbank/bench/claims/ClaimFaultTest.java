package org.cowslipbank.bench.claims;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cowslipbank.bench.Figure;

final class ClaimFaultTest {
    private static final long FAULTS_MILLIS = 150_000;

    /**
     * Guards the services, not only their state machine, against two runs, a false "not run", a second answer and an old
     * key that runs again, under pauses, restarts, cut links, mistaken owners, lost responses and outages.
     */
    @Property(seed = "11", tries = 2, shrinking = ShrinkingMode.OFF)
    void everyPromiseOfAClaimHoldsUnderFaults(@ForAll long seed) {
        for (Figure figure : new FaultScenario(seed, FAULTS_MILLIS).run()) {
            if (!figure.held()) {
                throw new AssertionError(figure.toString());
            }
        }
    }
}
