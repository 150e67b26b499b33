package org.cowslipbank.decision.relay;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of requests that found no capacity at an upstream, tried again in the order of {@link FairOrder}. Streams whose
 * clients already have events are tried first: few upstreams may go on with them, and what was computed for them would be
 * lost. Under lasting overload a strict order of arrival would make every request late.
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

    /**
     * The requests of a service that wait besides one of them.
     *
     * @param requests their number
     * @param cost their cost in the unit of {@link FairOrder.Demand}
     * @param requestsBefore number of those that are tried before it
     * @param costBefore cost of those that are tried before it
     * @param lateRequests number of those that can no longer be on time
     * @param lateCost cost of those that can no longer be on time
     */
    public record Backlog(
            int requests, long cost, int requestsBefore, long costBefore, int lateRequests, long lateCost) {
        /** No other request. */
        static final Backlog NONE = new Backlog(0, 0, 0, 0, 0, 0);

        private Backlog plus(long otherCost, boolean before, boolean late) {
            return new Backlog(
                    requests + 1,
                    cost + otherCost,
                    requestsBefore + (before ? 1 : 0),
                    costBefore + (before ? otherCost : 0),
                    lateRequests + (late ? 1 : 0),
                    lateCost + (late ? otherCost : 0));
        }
    }

    private final FairOrder fairOrder = new FairOrder();
    private final Map<T, FairOrder.Entry<T>> waiting = new LinkedHashMap<>();

    /**
     * Enqueues a request.
     *
     * @param request the request
     * @param demand what it asks for
     * @param times its times
     */
    public void add(T request, FairOrder.Demand demand, Times times) {
        waiting.put(request, new FairOrder.Entry<>(request, demand, times));
    }

    /**
     * Records that a request is sent to an upstream, and removes it if it is queued.
     *
     * @param request the request
     * @param demand what it asked for
     * @param nowMillis the time in milliseconds
     */
    public void onPlaced(T request, FairOrder.Demand demand, long nowMillis) {
        FairOrder.Entry<T> entry = waiting.remove(request);
        if (entry == null) {
            fairOrder.onServed(demand, nowMillis);
        } else {
            fairOrder.onServed(entry, nowMillis);
        }
    }

    /**
     * Removes a request that is not sent; ignored if it is not queued.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     */
    public void remove(T request, long nowMillis) {
        FairOrder.Entry<T> entry = waiting.remove(request);
        if (entry != null) {
            fairOrder.onMissed(entry, nowMillis);
        }
    }

    /**
     * Sets which services are ordered by more than time.
     *
     * @param guarded true for a service in which kinds and teams that were underserved lately go first
     * @param byPriority true for one in which, besides, priorities and the shares of teams precede the time
     */
    public void setFair(Predicate<String> guarded, Predicate<String> byPriority) {
        fairOrder.setGuarded(guarded);
        fairOrder.setByPriority(byPriority);
    }

    /**
     * Returns whether a more urgent request waits for capacity of the same service. A new request that were tried before
     * it would take the capacity that has become free since the queue was last tried.
     *
     * @param demand what the new request asks for
     * @return true if the new request should be tried after it, with the queue
     */
    public boolean hasMoreUrgent(FairOrder.Demand demand) {
        if (!fairOrder.isByPriority(demand.service())) {
            return false;
        }
        for (FairOrder.Entry<T> entry : waiting.values()) {
            // Streams that have begun may wait for a retry instead of capacity.
            if (!entry.times().begun()
                    && entry.demand().priority() < demand.priority()
                    && entry.demand().service().equals(demand.service())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the kind of a request was served less than half as often as its service's whole demand lately.
     *
     * @param demand what the request asks for
     * @return true if its kind goes before more urgent ones
     */
    public boolean isKindUnderserved(FairOrder.Demand demand) {
        return fairOrder.isKindUnderserved(demand);
    }

    /**
     * Returns whether the kind of a request was served less often than a less urgent kind of its service lately.
     *
     * @param demand what the request asks for
     * @return true if its kind should not be served less often still
     */
    public boolean isBehindLessUrgent(FairOrder.Demand demand) {
        return fairOrder.isBehindLessUrgent(demand);
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
     * Returns the number of waiting requests of a service.
     *
     * @param service the service
     * @return the number
     */
    public int size(String service) {
        int size = 0;
        for (FairOrder.Entry<T> entry : waiting.values()) {
            size += entry.demand().service().equals(service) ? 1 : 0;
        }
        return size;
    }

    /**
     * Returns the requests in the order in which they are tried.
     *
     * @param nowMillis the time in milliseconds
     * @return the requests, first one first
     */
    public List<T> inTryOrder(long nowMillis) {
        return fairOrder.sort(waiting.values(), nowMillis).stream()
                .map(FairOrder.Entry::request)
                .toList();
    }

    /**
     * Returns what else of its service waits besides a request.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     * @return the other requests; none if it is not queued
     */
    public Backlog backlog(T request, long nowMillis) {
        FairOrder.Entry<T> own = waiting.get(request);
        if (own == null) {
            return Backlog.NONE;
        }
        List<FairOrder.Entry<T>> competing = waiting.values().stream()
                .filter(entry -> entry.demand().service().equals(own.demand().service()))
                .toList();
        Backlog backlog = Backlog.NONE;
        boolean before = true;
        for (FairOrder.Entry<T> entry : fairOrder.sort(competing, nowMillis)) {
            if (entry == own) {
                before = false;
            } else {
                backlog = backlog.plus(
                        entry.demand().cost(), before, entry.times().isLate(nowMillis));
            }
        }
        return backlog;
    }

    /**
     * Returns what a queued request asks for.
     *
     * @param request the request
     * @return the demand, or empty once it is placed or removed
     */
    public Optional<FairOrder.Demand> demand(T request) {
        return Optional.ofNullable(waiting.get(request)).map(FairOrder.Entry::demand);
    }

    /**
     * Returns whether a request can no longer be on time.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     * @return true if it is queued and late
     */
    public boolean isLate(T request, long nowMillis) {
        FairOrder.Entry<T> entry = waiting.get(request);
        return entry != null && entry.times().isLate(nowMillis);
    }

    /**
     * Returns whether the wait of a request has expired.
     *
     * @param request the request
     * @param nowMillis the time in milliseconds
     * @return true if it is queued and must be refused now
     */
    public boolean hasExpired(T request, long nowMillis) {
        FairOrder.Entry<T> entry = waiting.get(request);
        return entry != null && nowMillis >= entry.times().giveUpMillis();
    }
}
