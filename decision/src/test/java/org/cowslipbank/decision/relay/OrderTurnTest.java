package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.OrderTurn.Moment;

final class OrderTurnTest {
    private static final long TURN_MILLIS = 3_000;

    /** Failure guarded against: a leader that was suspended gives an order after its lease went to another node. */
    @Example
    void suspendedLeaderStops() {
        OrderTurn turn = new OrderTurn(new Moment(0, 100_000), new Moment(2_200, 102_200), false);
        assert turn.mayOrder(new Moment(1_000, 101_000), TURN_MILLIS);
        assert !turn.mayOrder(new Moment(1_000, 104_000), TURN_MILLIS);
        assert !turn.mayOrder(new Moment(1_700, 101_700), TURN_MILLIS);
    }

    /** Failure guarded against: orders of two leaders reach the same engine within the time of a turn. */
    @Example
    void newLeaderWaits() {
        OrderTurn turn = new OrderTurn(new Moment(0, 0), new Moment(10_000, 10_000), true);
        // The last moment at which the earlier leader may have given an order, counted from the end of its lease.
        long lastOrderMillis = -OrderTurn.LEASE_MARGIN_MILLIS;
        assert !turn.mayOrder(new Moment(lastOrderMillis + 2_999, 2_399), TURN_MILLIS);
        assert turn.mayOrder(new Moment(3_000, 3_000), TURN_MILLIS);
    }
}
