package org.cowslipbank.decision.admission;

/**
 * Estimate of the rate at which a node completes work, from the mean time in flight per unit of cost.
 *
 * @param millisPerCost mean time in flight per unit of cost in milliseconds
 */
record ServiceRate(double millisPerCost) {
    /** Weight of a new sample; the average covers about the last 50 requests. */
    private static final double SAMPLE_WEIGHT = 0.02;

    ServiceRate withSample(double cost, long inFlightMillis) {
        double sampleMillis = inFlightMillis / Math.max(cost, 1e-3);
        return new ServiceRate(millisPerCost + SAMPLE_WEIGHT * (sampleMillis - millisPerCost));
    }

    double waitMillis(double costAhead, int inFlightLimit) {
        return inFlightLimit <= 0 ? Double.POSITIVE_INFINITY : costAhead * millisPerCost / inFlightLimit;
    }
}
