package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which waiting requests are tried. First come those that can still meet their latency objective, the one
 * whose time runs out first ahead; then the others in order of arrival. In an overload that lasts, serving strictly in
 * order of arrival would make every request late.
 *
 * @param <T> type of a request
 */
public final class WaitingLine<T> {
    /**
     * Times of a waiting request, in milliseconds.
     *
     * @param arrivedMillis when it arrived
     * @param onTimeUntilMillis until when it must be sent to meet its objective
     * @param giveUpMillis when it is refused
     */
    public record Times(long arrivedMillis, long onTimeUntilMillis, long giveUpMillis) {}

    private final Map<T, Times> waiting = new LinkedHashMap<>();

    /**
     * Adds a request.
     *
     * @param request the request
     * @param times its times
     */
    public void add(T request, Times times) {
        waiting.put(request, times);
    }

    /**
     * Removes a request.
     *
     * @param request the request
     */
    public void remove(T request) {
        waiting.remove(request);
    }

    /**
     * Tells whether nobody waits.
     *
     * @return true if so
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
     * @return the requests
     */
    public List<T> order(long nowMillis) {
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
     * Tells whether a request has waited for as long as it may.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     * @return true if it is to be refused
     */
    public boolean isOver(T request, long nowMillis) {
        Times times = waiting.get(request);
        return times != null && nowMillis >= times.giveUpMillis();
    }
}
