package org.cowslipbank.decision.admission;

/**
 * Exponentially decaying average of offered cost a second.
 *
 * @param weight decayed sum of costs
 * @param atMillis time of the last decay
 */
record ArrivalRate(double weight, long atMillis) {
    static final ArrivalRate NONE = new ArrivalRate(0, 0);

    /** Time constant of the average; long against the gaps between a team's requests, short against its bursts. */
    private static final double DECAY_MILLIS = 15_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    ArrivalRate added(double cost, long nowMillis) {
        return new ArrivalRate(decayed(nowMillis) + cost, nowMillis);
    }

    double perSecond(long nowMillis) {
        return decayed(nowMillis) * MILLIS_PER_SECOND / DECAY_MILLIS;
    }

    private double decayed(long nowMillis) {
        return weight * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
    }
}
