package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;

final class OldVersionsTest {
    /** Failure guarded against: the first engine with a new version gets the whole load at once. */
    @Example
    void oldEnginesAreUsedAlikeAtFirst() {
        assert OldVersions.penaltyMillis(0) == 0;
        assert OldVersions.penaltyMillis(1_500) == OldVersions.LOWER_VALUE_PENALTY_MILLIS;
    }

    /** Failure guarded against: a request begins on old weights after the version's bound. */
    @Example
    void oldEnginesAreExcludedBeforeTheBound() {
        assert !OldVersions.isClosed(5_000, 6_000);
        assert OldVersions.isClosed(6_000 - OldVersions.EXCLUSION_LEAD_MILLIS, 6_000);
        assert !OldVersions.isClosed(100_000, 0);
    }
}
