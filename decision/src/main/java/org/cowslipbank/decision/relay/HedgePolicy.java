package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides when a request whose answer is late is sent to a second upstream as well (a hedge), within the operators' limit.
 * The retry budget and the largest number of attempts bind besides. Confined to the traffic thread.
 */
public final class HedgePolicy {
    /** Largest limit that operators may set, in percent; the retry budgets of the deployments have this ratio as well. */
    public static final int MAX_PERCENT = 20;

    /** Length of the window in which hedges are compared with requests, in seconds; that of the retry budget. */
    static final int WINDOW_SECONDS = 10;

    /** Part of the latency objective before which no hedge is sent: an answer until then needs no help. */
    static final double MIN_OBJECTIVE_SHARE = 0.5;

    private static final int PERCENT = 100;
    private static final long SECOND_MILLIS = 1_000;

    private final int percent;
    private final AnswerTimes answerTimes = new AnswerTimes();
    private final Map<String, Credit> byService = new HashMap<>();

    /**
     * Hedges that the requests of a service have earned and that were not sent. Whole hedges are kept for one window only, so
     * that a quiet time does not pay for a burst, but fractions add up: a node of a large fleet has few requests in a window.
     */
    private static final class Credit {
        /** A node may send one hedge before its requests have earned it. */
        private double hedges = 1;

        private double earnedInWindow;
        private long windowEndMillis = Long.MIN_VALUE;

        void earn(double share, long nowMillis) {
            if (nowMillis >= windowEndMillis) {
                windowEndMillis = nowMillis + WINDOW_SECONDS * SECOND_MILLIS;
                hedges = Math.min(hedges, Math.max(1, earnedInWindow));
                earnedInWindow = 0;
            }
            earnedInWindow += share;
            hedges += share;
        }
    }

    /**
     * What is known of an upstream that may be compared.
     *
     * @param requests requests in flight there, of all nodes as far as known
     * @param slots requests that it runs at once; others wait there
     * @param silentMillis for how long it has sent nothing although requests of this node are in flight there, in
     *     milliseconds; zero without such requests
     */
    public record Occupancy(int requests, int slots, long silentMillis) {}

    HedgePolicy(int percent) {
        this.percent = percent;
    }

    /**
     * Returns the policy for the operators' limit.
     *
     * @param percent hedges allowed in a window, in percent of the requests
     * @return the policy, empty if no hedge is allowed
     */
    public static Optional<HedgePolicy> ofLimit(int percent) {
        return percent > 0 ? Optional.of(new HedgePolicy(percent)) : Optional.empty();
    }

    /**
     * Counts a request; further attempts of it are not counted.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     */
    public void onRequest(String service, long nowMillis) {
        credit(service).earn((double) percent / PERCENT, nowMillis);
    }

    /**
     * Records an answer. The time of a hedged request counts from its first attempt, whoever answered it: if only unhedged
     * answers counted, the percentile would fall with each hedge, and cause more of them.
     *
     * @param route the route's name
     * @param millis time from the send of the first attempt to the whole answer, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void onAnswered(String route, long millis, long nowMillis) {
        answerTimes.onAnswered(route, millis, nowMillis);
    }

    /**
     * Returns how long an attempt may be without an answer before it is hedged.
     *
     * @param route the route's name
     * @param objectiveMillis the route's latency objective in milliseconds
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds; the objective until enough answers of the route are known, which takes a node of a large
     *     fleet some minutes
     */
    public long delayMillis(String route, long objectiveMillis, long nowMillis) {
        OptionalLong usualMillis = answerTimes.percentileMillis(route, nowMillis);
        return usualMillis.isEmpty()
                ? objectiveMillis
                : Math.max(usualMillis.getAsLong(), Math.round(MIN_OBJECTIVE_SHARE * objectiveMillis));
    }

    /**
     * Returns whether an upstream is known to answer sooner than the one that has the request. If all upstreams are slow,
     * none is free, because a second send would make each of them slower.
     *
     * @param first the upstream that has the request
     * @param other the other upstream, which takes new requests
     * @param delayMillis the time for which the first one had to be without an answer, in milliseconds
     * @return true if the other one has a free slot, has less to do, and is not late itself
     */
    public static boolean isFree(Occupancy first, Occupancy other, long delayMillis) {
        return other.requests() < other.slots()
                && other.requests() < first.requests()
                && other.silentMillis() < delayMillis;
    }

    /**
     * Returns whether the operators' limit allows a hedge now.
     *
     * @param service the service
     * @return true if one more stays within the share of the requests
     */
    public boolean isWithinLimit(String service) {
        return credit(service).hedges >= 1;
    }

    /**
     * Counts a hedge, before it is sent.
     *
     * @param service the service
     */
    public void onHedged(String service) {
        credit(service).hedges--;
    }

    // The services are those of the configuration, a few.
    private Credit credit(String service) {
        return byService.computeIfAbsent(service, name -> new Credit());
    }
}
