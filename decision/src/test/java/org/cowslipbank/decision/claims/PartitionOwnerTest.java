package org.cowslipbank.decision.claims;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cowslipbank.model.TeamId;

final class PartitionOwnerTest {
    /**
     * Guards against a second run, a wrong "not run" and a second, different answer, which can result from two owners,
     * pauses that outlast the deletion of log values, lost and delayed calls, outages, restarts and repeated calls.
     */
    @Property(seed = "42", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void neverTwoRunsNorFalseNotRunNorSecondAnswer(@ForAll long seed, @ForAll boolean evictOldKeys) {
        ClaimSimulation simulation = new ClaimSimulation(seed, evictOldKeys);
        for (int i = 0; i < 300; i++) {
            simulation.step();
        }
        int answers = simulation.recoverAndRepeatAllKeys();
        if (answers != 3) {
            throw new AssertionError("after recovery, " + answers + " of 3 calls were answered");
        }
    }

    /** Guards against equal keys of two teams being treated as one, and against keys without a window. */
    @Example
    void keysAreParsedPerTeam() {
        ClaimKey key = ClaimKey.parse(new TeamId("a"), "29.order.7").orElseThrow();
        check(key.equals(new ClaimKey(new TeamId("a"), 29, "order.7")));
        check(!key.equals(ClaimKey.parse(new TeamId("b"), "29.order.7").orElseThrow()));
        check(ClaimKey.parse(new TeamId("a"), "order-7").isEmpty());
        check(ClaimKey.parse(new TeamId("a"), "29.").isEmpty());
    }

    /** Guards against low-priority calls that use up the tokens of claims, and against a bucket that loses tokens. */
    @Example
    void lowerPrioritiesLeaveTokensToClaims() {
        PlatformBudget budget = new PlatformBudget(10, 10, 0);
        while (budget.tryTake(PlatformBudget.Priority.AUDIT, 0) == 0) {
            continue;
        }
        check(budget.tryTake(PlatformBudget.Priority.CONFIGURATION, 0) == 0);
        int claims = 0;
        while (budget.tryTake(PlatformBudget.Priority.CLAIMS, 0) == 0) {
            claims++;
        }
        check(claims >= 5 && claims <= 9);
        check(budget.tryTake(PlatformBudget.Priority.CLAIMS, 100) == 0);
        check(budget.tryTake(PlatformBudget.Priority.CONFIGURATION, 200) > 0);
    }

    private static void check(boolean condition) {
        if (!condition) {
            throw new AssertionError();
        }
    }
}
