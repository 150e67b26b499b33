package org.cowslipbank.bench.claims;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cowslipbank.bench.Figure;

final class ClaimFaultTest {
    private static final long FAULTS_MILLIS = 150_000;

    /**
     * Guards against duplicate runs, a false "not run", two different answers and an expired key that runs again, under
     * pauses, restarts, cut links, wrong partition owners, lost responses and outages. It tests the claim services, not
     * only their state machine.
     */
    @Property(seed = "11", tries = 2, shrinking = ShrinkingMode.OFF)
    void everyClaimGuaranteeHoldsUnderFaults(@ForAll long seed) {
        for (Figure figure : new FaultScenario(seed, FAULTS_MILLIS).run()) {
            if (!figure.meetsBound()) {
                throw new AssertionError(figure.toString());
            }
        }
    }
}
