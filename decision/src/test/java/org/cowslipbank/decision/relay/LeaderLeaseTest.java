package org.cowslipbank.decision.relay;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.LeaderLease.ClockReading;

final class LeaderLeaseTest {
    private static final long MIN_GAP_MILLIS = 3_000;

    /**
     * Failure guarded against: a leader that was suspended sends an order after another node has acquired its lease.
     */
    @Example
    void suspendedLeaderStops() {
        LeaderLease lease = new LeaderLease(new ClockReading(0, 100_000), new ClockReading(2_200, 102_200), false);
        assert lease.maySendOrder(new ClockReading(1_000, 101_000), MIN_GAP_MILLIS);
        assert !lease.maySendOrder(new ClockReading(1_000, 104_000), MIN_GAP_MILLIS);
        assert !lease.maySendOrder(new ClockReading(1_700, 101_700), MIN_GAP_MILLIS);
    }

    /** Failure guarded against: orders of two leaders reach the same engine within the minimum gap. */
    @Example
    void newLeaderWaits() {
        LeaderLease lease = new LeaderLease(new ClockReading(0, 0), new ClockReading(10_000, 10_000), true);
        // The latest time at which the previous leader may have sent an order, relative to the expiry of its lease.
        long lastOrderMillis = -LeaderLease.LEASE_MARGIN_MILLIS;
        assert !lease.maySendOrder(new ClockReading(lastOrderMillis + 2_999, 2_399), MIN_GAP_MILLIS);
        assert lease.maySendOrder(new ClockReading(3_000, 3_000), MIN_GAP_MILLIS);
    }
}
