package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;

/** Failure guarded against: a request's time starts when a starved node reads it instead of when it arrived. */
final class LoopTurnsTest {
    private final LoopTurns turns = new LoopTurns();

    @Example
    void dataReadByAnIdleLoopHasJustArrived() {
        assert turns.onEvent(1_000);
        turns.onTurnEnd(1_005);
        assert turns.onEvent(1_200);
        assert turns.earliestArrivalMillis() == 1_200;
    }

    @Example
    void dataReadAfterALongTurnMayHaveArrivedAtItsBeginning() {
        assert turns.onEvent(1_000);
        assert !turns.onEvent(2_400);
        turns.onTurnEnd(2_500);
        assert turns.onEvent(2_501);
        assert !turns.onEvent(2_700);
        assert turns.earliestArrivalMillis() == 1_000;
        turns.onTurnEnd(2_800);
        assert turns.onEvent(2_800);
        assert turns.earliestArrivalMillis() == 2_501;
    }

    /** Another thread, such as the compiler's, may take the only processor while the loop waits for events. */
    @Example
    void dataReadByAThreadThatGotNoProcessorMayBeOld() {
        assert turns.onEvent(1_000);
        turns.expectEvent(1_180);
        turns.onTurnEnd(1_005);
        assert turns.onEvent(1_190);
        assert turns.earliestArrivalMillis() == 1_190;
        turns.onTurnEnd(1_195);
        assert turns.onEvent(2_300);
        assert turns.earliestArrivalMillis() == 1_190;
        assert turns.onTurnEnd(2_310) == 10 + 1_120;
    }

    /**
     * Failure guarded against: the thread loses the processor after a long turn for so long that a timer is overdue, and
     * what arrived in the long turn counts from its end.
     */
    @Example
    void arrivalsInALongTurnBeforeAnOverdueOneCountFromItsStart() {
        turns.onEvent(1_000);
        turns.expectEvent(1_180);
        turns.onTurnEnd(2_500);
        assert turns.onEvent(3_000);
        assert turns.earliestArrivalMillis() == 1_000;
    }

    /**
     * Failure guarded against: on a busy machine the thread loses the processor between a long turn and the next one, and
     * what arrived in the long turn counts as new.
     */
    @Example
    void shortPauseAfterALongTurnDoesNotMakeDataNew() {
        assert turns.onEvent(1_000);
        turns.onTurnEnd(2_500);
        assert turns.onEvent(2_530);
        assert turns.earliestArrivalMillis() == 1_000;
        turns.onTurnEnd(2_535);
        assert turns.onEvent(2_560);
        assert turns.earliestArrivalMillis() == 2_560;
    }

    /**
     * Failure guarded against: the loop is held in a task that is no event, a short task follows it, and what arrived
     * meanwhile counts as new when the sockets are read a few milliseconds later.
     */
    @Example
    void arrivalsBeforeAnOverdueTaskCountFromTheLastTurnBeforeIt() {
        turns.onEvent(1_000);
        turns.expectEvent(1_180);
        turns.onTurnEnd(1_002);
        assert turns.onEvent(2_500);
        assert turns.earliestArrivalMillis() == 1_000;
        turns.expectEvent(2_680);
        turns.onTurnEnd(2_501);
        assert turns.onEvent(2_508);
        assert turns.earliestArrivalMillis() == 1_000;
        turns.onTurnEnd(2_510);
        assert turns.onEvent(2_600);
        assert turns.earliestArrivalMillis() == 2_600;
    }
}
