package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;

final class OldVersionsTest {
    /** Failure guarded against: the first engine with a new version gets the whole load at once. */
    @Example
    void oldEnginesAreUsedAtFirstAndLastAtTheBound() {
        assert OldVersions.penaltyMillis(0, 6_000) == 0;
        assert OldVersions.penaltyMillis(1_500, 6_000) == OldVersions.WORTH_LESS_PENALTY_MILLIS;
        assert OldVersions.penaltyMillis(5_100, 6_000) == OldVersions.LAST_RESORT_MILLIS;
    }
}
