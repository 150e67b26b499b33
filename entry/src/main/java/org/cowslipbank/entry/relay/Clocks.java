package org.cowslipbank.entry.relay;

import java.util.function.LongSupplier;

import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.traffic.MonotonicClock;

/**
 * The two clocks of a VM.
 *
 * @param monotonic never goes back, but stops while the VM is suspended
 * @param wallMillis time of day in Unix milliseconds; may jump
 */
public record Clocks(MonotonicClock monotonic, LongSupplier wallMillis) {
    /** The system's clocks. */
    public static final Clocks SYSTEM = new Clocks(MonotonicClock.SYSTEM, System::currentTimeMillis);

    /**
     * Returns the monotonic time.
     *
     * @return milliseconds since an arbitrary point
     */
    public long nowMillis() {
        return monotonic.nowMillis();
    }

    /**
     * Returns the time on both clocks.
     *
     * @return the moment
     */
    public LeaderLease.ClockReading now() {
        return new LeaderLease.ClockReading(monotonic.nowMillis(), wallMillis.getAsLong());
    }
}
