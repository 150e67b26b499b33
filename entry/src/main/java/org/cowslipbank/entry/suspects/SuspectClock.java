package org.cowslipbank.entry.suspects;

/** The two clocks of suspects: facts travel between nodes, leases do not. */
public interface SuspectClock {
    /** The clocks of the VM. */
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
     * @return the time in milliseconds
     */
    long monotonicMillis();
}
