package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;

final class OldWeightsPolicyTest {
    /** Failure guarded against: the first engine with a new version gets the whole load at once. */
    @Example
    void oldEnginesAreUsedAlikeAtFirst() {
        assert OldWeightsPolicy.penaltyMillis(0) == 0;
        assert OldWeightsPolicy.penaltyMillis(1_500) == OldWeightsPolicy.LOWER_VALUE_PENALTY_MILLIS;
    }

    /** Failure guarded against: a request begins on old weights after the version's bound. */
    @Example
    void oldEnginesAreExcludedBeforeTheBound() {
        assert !OldWeightsPolicy.isExcluded(5_000, 6_000);
        assert OldWeightsPolicy.isExcluded(6_000 - OldWeightsPolicy.EXCLUSION_LEAD_MILLIS, 6_000);
        assert !OldWeightsPolicy.isExcluded(100_000, 0);
    }
}
