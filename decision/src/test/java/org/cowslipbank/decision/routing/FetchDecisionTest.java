package org.cowslipbank.decision.routing;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cowslipbank.config.DecisionWeights;

final class FetchDecisionTest {
    private static final double RECOMPUTE_BLOCK_MILLIS = 100;

    /** Guards against a prompt that waits for a dead store longer than recompute takes, for any weights. */
    @Property(seed = "17", tries = 200)
    boolean deadStoreNeverCostsMoreThanRecompute(
            @ForAll @IntRange(min = 1, max = 40) int blocks,
            @ForAll @DoubleRange(min = 0, max = 5) double timeWeight,
            @ForAll @DoubleRange(min = 0, max = 5) double recomputeWeight) {
        double promptMillis = blocks * RECOMPUTE_BLOCK_MILLIS;
        DecisionWeights weights = new DecisionWeights(timeWeight, recomputeWeight, 0.1);
        return check(blocks, 0, 0, promptMillis, weights).recomputeRest();
    }

    /** Guards against waiting for a store link that has slowed down to a tenth of its rate. */
    @Example
    boolean slowLinkIsOvertaken() {
        DecisionWeights weights = new DecisionWeights(1, 0.2, 0.05);
        boolean slow = check(20, 2, 200, 10, weights).recomputeRest();
        boolean healthy = check(20, 2, 25, 10, weights).recomputeRest();
        return slow && !healthy;
    }

    /**
     * Guards against a link that is never used again after its store was down, and against probing it with a prompt.
     */
    @Example
    boolean deadLinkStaysDownUntilAProbeArrives() {
        LinkEstimate dead = LinkEstimate.ofConfiguredRate(1e9).withTimeout(64_000_000, 2_000, 10_000);
        boolean waits = dead.state() == LinkState.DOWN && !dead.needsProbe(10_500) && dead.needsProbe(11_000);
        LinkEstimate again = dead.withReceivedBlock(64_000_000, 64, 11_100);
        return waits && again.state() == LinkState.UP;
    }

    /** Guards against a rate estimate that does not follow a slowing link. */
    @Example
    boolean estimateFollowsTheMeasuredRate() {
        LinkEstimate estimate = LinkEstimate.ofConfiguredRate(1e9);
        for (int i = 0; i < 10; i++) {
            estimate = estimate.withReceivedBlock(64_000_000, 640, 1_000 * i);
        }
        return estimate.bytesPerSecond() < 1.1e8 && estimate.needsProbe(60_000);
    }

    private static FetchVerdict check(
            int blocks, int received, double observedMillis, double silentMillis, DecisionWeights weights) {
        return FetchDecision.check(new FetchProgress(
                blocks,
                received,
                20,
                observedMillis * Math.max(0, received - 1),
                silentMillis,
                0,
                20,
                RECOMPUTE_BLOCK_MILLIS,
                blocks * RECOMPUTE_BLOCK_MILLIS,
                weights));
    }
}
