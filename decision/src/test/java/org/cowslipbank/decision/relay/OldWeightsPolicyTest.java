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
        assert !OldWeightsPolicy.isExcluded(5_000, 6_000, true);
        assert OldWeightsPolicy.isExcluded(6_000 - OldWeightsPolicy.EXCLUSION_LEAD_MILLIS, 6_000, true);
        assert !OldWeightsPolicy.isExcluded(100_000, 0, true);
        assert !OldWeightsPolicy.isExcluded(3_700, 6_000, false);
        assert OldWeightsPolicy.isExcluded(6_000 - OldWeightsPolicy.SINGLE_RUN_EXCLUSION_LEAD_MILLIS, 6_000, false);
        assert !OldWeightsPolicy.isExcluded(100_000, 0, false);
    }

    /** Failure guarded against: a request waits in a busy or silent engine and begins after the bound. */
    @Example
    void requestsThatHaveNotBegunAreTakenBackBeforeTheBound() {
        assert !OldWeightsPolicy.isTakenBack(5_500, 6_000);
        assert OldWeightsPolicy.isTakenBack(6_000 - OldWeightsPolicy.TAKE_BACK_LEAD_MILLIS, 6_000);
        assert !OldWeightsPolicy.isTakenBack(100_000, 0);
    }
}
