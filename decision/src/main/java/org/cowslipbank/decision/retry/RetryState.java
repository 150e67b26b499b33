package org.cowslipbank.decision.retry;

import java.util.List;

/**
 * Numbers of requests and retries in the sliding window.
 *
 * @param startedAtMillis start of the node in milliseconds
 * @param newestSecond number of the newest second in the window, counted from the node's start
 * @param requests number of requests in each second of the window, newest last
 * @param retries number of retries in each second of the window, newest last
 */
public record RetryState(long startedAtMillis, long newestSecond, List<Integer> requests, List<Integer> retries) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public RetryState {
        requests = List.copyOf(requests);
        retries = List.copyOf(retries);
    }
}
