package org.cowslipbank.decision.retry;

/** Limit on the retries that a node may send within the sliding window. */
@FunctionalInterface
public interface RetryBudget {
    /** Retries as a share of the requests; keeps the attempts below 1.1 a request on average. */
    double STANDARD_RETRY_SHARE = 0.1;

    /**
     * A tenth of the requests, but at least the retry rate of a node that has just started. Without this minimum, a
     * node with little traffic could not retry the few requests of an engine that dies.
     */
    RetryBudget STANDARD = new RetryBudget() {
        @Override
        public double retriesPerWindow(int requests) {
            return Math.max(
                    RetryPolicy.START_RETRIES_PER_SECOND * RetryPolicy.WINDOW_SECONDS, STANDARD_RETRY_SHARE * requests);
        }

        @Override
        public boolean limitsRateAfterStart() {
            return true;
        }
    };

    /** Share of a deployment's limit that the nodes use, so that a change of their number does not exceed the limit. */
    double USED_SHARE = 0.7;

    /**
     * Returns the maximum number of retries.
     *
     * @param requests number of requests that the node has received in the window
     * @return maximum number of retries in the window
     */
    double retriesPerWindow(int requests);

    /**
     * Returns whether the retry rate is limited further until the window has filled after a start, see
     * {@link RetryPolicy#START_RETRIES_PER_SECOND}.
     *
     * @return true if it is; false if the budget has a part that does not depend on requests
     */
    default boolean limitsRateAfterStart() {
        return false;
    }

    /**
     * Returns one node's part of a budget for all nodes together.
     *
     * @param share retries as a share of the requests
     * @param slack number of retries of all nodes in a window beyond that share
     * @param nodes number of nodes
     * @return the node's budget
     */
    static RetryBudget ofFleet(double share, double slack, int nodes) {
        return requests -> USED_SHARE * (share * requests + slack / Math.max(1, nodes));
    }
}
