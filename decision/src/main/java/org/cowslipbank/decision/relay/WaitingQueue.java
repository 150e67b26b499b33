package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of waiting requests. Requests that can still meet their latency objective are tried first, earliest deadline
 * first, then the late ones in order of arrival. Under lasting overload a strict order of arrival would make every
 * request late.
 *
 * @param <T> type of a request
 */
public final class WaitingQueue<T> {
    /**
     * Times of a waiting request, in milliseconds.
     *
     * @param arrivedMillis time of arrival
     * @param onTimeUntilMillis latest time to send it so that it meets its latency objective
     * @param giveUpMillis time from which it is refused
     */
    public record Times(long arrivedMillis, long onTimeUntilMillis, long giveUpMillis) {}

    private final Map<T, Times> waiting = new LinkedHashMap<>();

    /**
     * Enqueues a request.
     *
     * @param request the request
     * @param times its times
     */
    public void add(T request, Times times) {
        waiting.put(request, times);
    }

    /**
     * Removes a request; ignored if it is not queued.
     *
     * @param request the request
     */
    public void remove(T request) {
        waiting.remove(request);
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return true if no request is waiting
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the requests in the order in which they are tried.
     *
     * @param nowMillis the time in milliseconds
     * @return the requests, first one first
     */
    public List<T> inTryOrder(long nowMillis) {
        List<Map.Entry<T, Times>> entries = new ArrayList<>(waiting.entrySet());
        entries.sort(Comparator.comparing((Map.Entry<T, Times> entry) -> isLate(entry.getValue(), nowMillis))
                .thenComparing(entry -> isLate(entry.getValue(), nowMillis)
                        ? entry.getValue().arrivedMillis()
                        : entry.getValue().onTimeUntilMillis()));
        return entries.stream().map(Map.Entry::getKey).toList();
    }

    private static boolean isLate(Times times, long nowMillis) {
        return times.onTimeUntilMillis() < nowMillis;
    }

    /**
     * Returns whether the wait of a request has expired.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     * @return true if it is queued and must be refused now
     */
    public boolean hasExpired(T request, long nowMillis) {
        Times times = waiting.get(request);
        return times != null && nowMillis >= times.giveUpMillis();
    }
}
