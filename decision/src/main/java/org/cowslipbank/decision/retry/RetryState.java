package org.cowslipbank.decision.retry;

import java.util.List;

/**
 * Counts of requests and retries over the sliding window.
 *
 * @param startedAtMillis when the node started
 * @param newestSecond number of the newest second that is counted, from the node's start
 * @param requests requests in each second of the window, newest last
 * @param retries retries in each second of the window, newest last
 */
public record RetryState(long startedAtMillis, long newestSecond, List<Integer> requests, List<Integer> retries) {
    /** Copies the lists. */
    public RetryState {
        requests = List.copyOf(requests);
        retries = List.copyOf(retries);
    }
}
