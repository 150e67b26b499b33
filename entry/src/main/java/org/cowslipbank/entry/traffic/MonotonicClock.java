package org.cowslipbank.entry.traffic;

/** A clock that never runs backwards. */
@FunctionalInterface
public interface MonotonicClock {
    /** The system's monotonic clock. */
    MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

    /**
     * Returns the current time.
     *
     * @return milliseconds since an arbitrary point
     */
    long nowMillis();
}
