package org.cowslipbank.decision.admission;

/**
 * Exponentially decaying average of the cost that arrives per second.
 *
 * @param decayedCost decayed sum of costs
 * @param atMillis time in milliseconds at which the sum was computed
 */
record ArrivalRate(double decayedCost, long atMillis) {
    static final ArrivalRate NONE = new ArrivalRate(0, 0);

    /** Time constant of the average: longer than the gaps between a team's requests, shorter than its bursts. */
    private static final double DECAY_MILLIS = 15_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    ArrivalRate plus(double cost, long nowMillis) {
        return new ArrivalRate(decayedCostAt(nowMillis) + cost, nowMillis);
    }

    double perSecond(long nowMillis) {
        return decayedCostAt(nowMillis) * MILLIS_PER_SECOND / DECAY_MILLIS;
    }

    private double decayedCostAt(long nowMillis) {
        return decayedCost * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
    }
}
