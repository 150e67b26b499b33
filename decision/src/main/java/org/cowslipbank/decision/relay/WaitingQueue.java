package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of waiting requests. Streams whose clients already have events are tried first: few upstreams may go on with them,
 * and what was computed for them would be lost. Then come the requests that can still meet their latency objective,
 * earliest deadline first, then the late ones in order of arrival. Under lasting overload a strict order of arrival would
 * make every request late.
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
     * @param begun true for a stream whose client already has events
     */
    public record Times(long arrivedMillis, long onTimeUntilMillis, long giveUpMillis, boolean begun) {
        /** Order of requests that are not late, most urgent first. */
        static final Comparator<Times> BY_URGENCY =
                Comparator.comparing(Times::begun).reversed().thenComparingLong(Times::onTimeUntilMillis);

        /**
         * Creates the times of a request that is no continuation of a stream.
         *
         * @param arrivedMillis time of arrival
         * @param onTimeUntilMillis latest time to send it so that it meets its latency objective
         * @param giveUpMillis time from which it is refused
         */
        public Times(long arrivedMillis, long onTimeUntilMillis, long giveUpMillis) {
            this(arrivedMillis, onTimeUntilMillis, giveUpMillis, false);
        }

        /**
         * Returns the times of a stream whose client already has events; it is never late.
         *
         * @param arrivedMillis time of arrival
         * @param giveUpMillis time from which it is given up
         * @return the times
         */
        public static Times ofBegunStream(long arrivedMillis, long giveUpMillis) {
            return new Times(arrivedMillis, giveUpMillis, giveUpMillis, true);
        }

        boolean isLate(long nowMillis) {
            return !begun && onTimeUntilMillis < nowMillis;
        }
    }

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
        entries.sort(Map.Entry.comparingByValue((one, other) -> compare(one, other, nowMillis)));
        return entries.stream().map(Map.Entry::getKey).toList();
    }

    private static int compare(Times one, Times other, long nowMillis) {
        boolean oneIsLate = one.isLate(nowMillis);
        if (oneIsLate != other.isLate(nowMillis)) {
            return oneIsLate ? 1 : -1;
        }
        return oneIsLate
                ? Long.compare(one.arrivedMillis(), other.arrivedMillis())
                : Times.BY_URGENCY.compare(one, other);
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
