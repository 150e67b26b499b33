package org.cowslipbank.decision.retry;

/** The most retries that a node may send in the sliding window. */
@FunctionalInterface
public interface RetryBudget {
    /** Retries as a share of the requests, from the limits bench: total attempts stay under 1.1 a request. */
    double STANDARD_SHARE = 0.1;

    /**
     * A tenth of the requests. A quiet node keeps the starting rate; without it the death of an engine would fail the
     * few requests it had.
     */
    RetryBudget STANDARD = new RetryBudget() {
        @Override
        public double retriesPerWindow(int requests) {
            return Math.max(
                    RetryPolicy.START_RETRIES_PER_SECOND * RetryPolicy.WINDOW_SECONDS, STANDARD_SHARE * requests);
        }

        @Override
        public boolean limitsStart() {
            return true;
        }
    };

    /** Part of a deployment's limit that the nodes use, so that a change of their number does not exceed it. */
    double USED_PART = 0.7;

    /**
     * Returns the most retries.
     *
     * @param requests requests that the node has taken in the window
     * @return the most retries in the window
     */
    double retriesPerWindow(int requests);

    /**
     * Tells whether retries are limited to a few a second until the window has filled after a start.
     *
     * @return true if they are; false where the budget has a part that does not depend on requests
     */
    default boolean limitsStart() {
        return false;
    }

    /**
     * Returns one node's part of a limit that holds for all nodes together.
     *
     * @param share retries as a share of the requests
     * @param slack retries in a window beyond that share
     * @param nodes number of nodes
     * @return the budget
     */
    static RetryBudget ofFleet(double share, double slack, int nodes) {
        return requests -> USED_PART * (share * requests + slack / Math.max(1, nodes));
    }
}
