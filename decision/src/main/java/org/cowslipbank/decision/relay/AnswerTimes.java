package org.cowslipbank.decision.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Recent times to an answer of each route, of which the time that most answers took is derived. */
final class AnswerTimes {
    /**
     * Answers that are kept of a route. Ten of them are longer than the percentile, so that one outlier does not decide it.
     * One route takes 3.2 KB.
     */
    static final int KEPT_ANSWERS = 200;

    /** Number of known answers from which the percentile is meaningful: below it is the longest one. */
    static final int MIN_ANSWERS = 20;

    /**
     * Age up to which an answer counts, in milliseconds. A slow node gets a request of a rare route each ten seconds, and
     * has the least number of answers within this time.
     */
    static final long MAX_AGE_MILLIS = 300_000;

    /** Number of routes up to which answers are kept, 3.2 MB; further ones have none. */
    static final int MAX_ROUTES = 1_000;

    /** Share of the answers that take no longer than the percentile. */
    static final double PERCENTILE = 0.95;

    private final Map<String, Ring> byRoute = new HashMap<>();

    private static final class Ring {
        private final long[] durationMillis = new long[KEPT_ANSWERS];
        private final long[] answeredMillis = new long[KEPT_ANSWERS];
        private int next;
        private int size;

        void add(long millis, long nowMillis) {
            durationMillis[next] = millis;
            answeredMillis[next] = nowMillis;
            next = (next + 1) % KEPT_ANSWERS;
            size = Math.min(KEPT_ANSWERS, size + 1);
        }

        OptionalLong percentile(long nowMillis) {
            long[] recent = new long[size];
            int count = 0;
            for (int index = 0; index < size; index++) {
                if (nowMillis - answeredMillis[index] <= MAX_AGE_MILLIS) {
                    recent[count++] = durationMillis[index];
                }
            }
            if (count < MIN_ANSWERS) {
                return OptionalLong.empty();
            }
            Arrays.sort(recent, 0, count);
            return OptionalLong.of(recent[(int) Math.ceil(PERCENTILE * count) - 1]);
        }
    }

    /**
     * Records an answer.
     *
     * @param route the route's name
     * @param millis time that it took, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    void onAnswered(String route, long millis, long nowMillis) {
        if (byRoute.size() < MAX_ROUTES || byRoute.containsKey(route)) {
            byRoute.computeIfAbsent(route, name -> new Ring()).add(millis, nowMillis);
        }
    }

    /**
     * Returns the time that 95 in 100 of a route's recent answers took.
     *
     * @param route the route's name
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, empty if too few answers are known
     */
    OptionalLong percentileMillis(String route, long nowMillis) {
        Ring ring = byRoute.get(route);
        return ring == null ? OptionalLong.empty() : ring.percentile(nowMillis);
    }
}
