package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Longest recent answer of each route. It covers between one and two windows of time, in constant space for a route. */
public final class AnswerDurations {
    /** Length of a window in milliseconds; even routes with few requests have answers in it. */
    static final long WINDOW_MILLIS = 30_000;

    /** Number of routes up to which durations are kept; the figures of further ones are not known. */
    static final int MAX_ROUTES = 10_000;

    private static final long NONE = -1;

    private final Map<String, Longest> byRoute = new HashMap<>();

    private static final class Longest {
        private long window;
        private long currentMillis = NONE;
        private long earlierMillis = NONE;

        private void advanceTo(long newWindow) {
            if (newWindow <= window) {
                return;
            }
            earlierMillis = newWindow == window + 1 ? currentMillis : NONE;
            currentMillis = NONE;
            window = newWindow;
        }
    }

    /**
     * Records an answer.
     *
     * @param route the route's name
     * @param durationMillis time from the request's arrival to the end of its answer, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void onAnswered(String route, long durationMillis, long nowMillis) {
        if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
            return;
        }
        Longest longest = byRoute.computeIfAbsent(route, name -> new Longest());
        longest.advanceTo(nowMillis / WINDOW_MILLIS);
        longest.currentMillis = Math.max(longest.currentMillis, durationMillis);
    }

    /**
     * Returns the longest recent answer of a route.
     *
     * @param route the route's name
     * @param nowMillis the time in milliseconds
     * @return the duration in milliseconds, empty if no recent answer is known
     */
    public OptionalLong longestMillis(String route, long nowMillis) {
        Longest longest = byRoute.get(route);
        if (longest == null) {
            return OptionalLong.empty();
        }
        longest.advanceTo(nowMillis / WINDOW_MILLIS);
        long millis = Math.max(longest.currentMillis, longest.earlierMillis);
        return millis == NONE ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
