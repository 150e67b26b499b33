package org.cowslipbank.entry.suspects;

/** Wall clock for the facts that nodes exchange, and monotonic clock for leases, which are timed within one node. */
public interface SuspectClock {
    /** Clocks of the operating system. */
    SuspectClock SYSTEM = new SuspectClock() {
        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public long monotonicMillis() {
            return System.nanoTime() / 1_000_000;
        }
    };

    /**
     * Returns the wall-clock time.
     *
     * @return milliseconds since 1970
     */
    long wallMillis();

    /**
     * Returns the monotonic time.
     *
     * @return milliseconds since an arbitrary origin
     */
    long monotonicMillis();
}
