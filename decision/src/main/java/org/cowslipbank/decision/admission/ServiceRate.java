package org.cowslipbank.decision.admission;

/**
 * Estimate of how much work a node's requests complete a second, from the mean time that a unit of cost occupies a
 * slot.
 *
 * @param millisPerCost mean time in flight of a unit of cost in milliseconds
 */
record ServiceRate(double millisPerCost) {
    /** Weight of a new observation; about the last 50 requests count. */
    private static final double GAIN = 0.02;

    ServiceRate observed(double cost, long inFlightMillis) {
        double sample = inFlightMillis / Math.max(cost, 1e-3);
        return new ServiceRate(millisPerCost + GAIN * (sample - millisPerCost));
    }

    double waitMillis(double costAhead, int inFlightLimit) {
        return inFlightLimit <= 0 ? Double.POSITIVE_INFINITY : costAhead * millisPerCost / inFlightLimit;
    }
}
