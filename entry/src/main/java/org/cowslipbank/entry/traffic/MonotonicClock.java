package org.cowslipbank.entry.traffic;

/** A clock that never goes back. */
@FunctionalInterface
public interface MonotonicClock {
    /** The system's monotonic clock. */
    MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

    /**
     * Returns the time.
     *
     * @return milliseconds since an arbitrary point
     */
    long nowMillis();
}
