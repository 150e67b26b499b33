package org.cowslipbank.decision.relay;

/**
 * Paces the requests of one node to one upstream: a send permit becomes free at each interval, and one that is not used
 * lapses after a while. Confined to the traffic thread.
 */
final class SendPermits {
    private final long unusedValidMillis;
    private double nextMillis;

    /**
     * Creates the permits of one upstream.
     *
     * @param unusedValidMillis time for which an unused permit is kept, in milliseconds
     */
    SendPermits(long unusedValidMillis) {
        this.unusedValidMillis = unusedValidMillis;
    }

    /**
     * Sets when the next permit becomes free; earlier ones lapse.
     *
     * @param firstMillis the time in milliseconds
     */
    void beginAt(double firstMillis) {
        nextMillis = firstMillis;
    }

    /**
     * Returns whether a permit is free.
     *
     * @param intervalMillis time between two permits in milliseconds
     * @param nowMillis the time in milliseconds
     * @return true if a request may be sent
     */
    boolean isFree(double intervalMillis, long nowMillis) {
        dropUnused(intervalMillis, nowMillis);
        return nowMillis >= nextMillis;
    }

    /**
     * Uses a permit.
     *
     * @param intervalMillis time between two permits in milliseconds
     * @param nowMillis the time in milliseconds
     */
    void take(double intervalMillis, long nowMillis) {
        dropUnused(intervalMillis, nowMillis);
        nextMillis = Math.max(nextMillis, nowMillis - unusedValidMillis) + intervalMillis;
    }

    private void dropUnused(double intervalMillis, long nowMillis) {
        double unusedMillis = nowMillis - unusedValidMillis - nextMillis;
        if (unusedMillis > 0) {
            nextMillis += Math.ceil(unusedMillis / intervalMillis) * intervalMillis;
        }
    }
}
