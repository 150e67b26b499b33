package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.CapacityMisses;
import org.cowslipbank.decision.relay.FairOrder;
import org.cowslipbank.decision.relay.PriorityLimits;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.WaitingQueue;
import org.cowslipbank.model.relay.Route;

/** Queue of requests that found no available upstream, with periodic retries. Runs on the traffic thread. */
final class WaitingRequests {
    /** Retry interval; engines free room about every 100 ms. */
    static final long RETRY_INTERVAL_MILLIS = 20;

    private final WaitingQueue<Exchange> queue = new WaitingQueue<>();
    private final BacklogRefusals refusals;
    private final PriorityLimits limits = new PriorityLimits();
    /** Services whose engines are limited by priority; their queue has the same order. */
    private final Set<String> byPriority = new HashSet<>();

    private final EventLoop loop;
    private final Clocks clocks;
    private final LoopTurnTracker turns;
    private final UpstreamLoads loads;
    private Optional<Reservation> reservation = Optional.empty();
    private boolean scheduled;

    /** Room reserved at an engine for the first request in the queue that could not start; one at a time. */
    private record Reservation(Exchange exchange, String incarnation, int tokens) {}

    /**
     * Creates an empty queue.
     *
     * @param loop the traffic thread
     * @param clocks the clocks
     * @param turns the turns of the event loop
     * @param loads load of the upstreams, where room is reserved
     * @param metrics counts refusals
     * @param log the structured log
     */
    WaitingRequests(
            EventLoop loop,
            Clocks clocks,
            LoopTurnTracker turns,
            UpstreamLoads loads,
            RelayMetrics metrics,
            DecisionLog log) {
        this.refusals = new BacklogRefusals(queue, clocks, metrics, log);
        this.loop = loop;
        this.clocks = clocks;
        this.turns = turns;
        this.loads = loads;
    }

    /**
     * Enqueues a request, unless it would still wait when it must be given up.
     *
     * @param exchange the request
     * @param placement its placement
     * @param times its times
     * @return empty if it is queued, else the delay in milliseconds after which its client may come again
     */
    OptionalLong add(Exchange exchange, RequestPlacement placement, WaitingQueue.Times times) {
        queue.add(exchange, placement.demand(), times);
        OptionalLong refusal = refusals.refusalMillis(exchange, placement, times);
        if (refusal.isPresent()) {
            // Its kind and team count it as not served.
            queue.remove(exchange, clocks.nowMillis());
            return refusal;
        }
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::retryAll, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return OptionalLong.empty();
    }

    void remove(Exchange exchange) {
        queue.remove(exchange, clocks.nowMillis());
        releaseReservation(exchange);
    }

    /**
     * Lets underserved kinds and teams of these services go first and refuses what their backlog leaves no time for. The
     * others are ordered by time alone.
     */
    void setGuardedServices(Set<String> services) {
        refusals.setServices(services);
        queue.setFair(services::contains, byPriority::contains);
    }

    /** Forgets what was learned of routes that the configuration no longer has. */
    void setRoutes(List<Route> routes) {
        limits.setRoutes(routes);
    }

    /** Learns how long the prompts of a route are. */
    void onRequest(FairOrder.Demand demand) {
        limits.onRequest(demand);
    }

    /**
     * Returns how far a request's limits are from the larger ones of an engine towards the smaller ones.
     *
     * @param demand what the request asks for
     * @param routes all routes of the configuration
     * @return the weight from zero to one, or empty if it follows from the length of the prompt
     */
    OptionalDouble limitWeight(FairOrder.Demand demand, List<Route> routes) {
        OptionalDouble weight = limitWeightToExplain(demand, routes);
        if (weight.isPresent()) {
            byPriority.add(demand.service());
        } else {
            byPriority.remove(demand.service());
        }
        return weight;
    }

    /** Returns the same as {@link #limitWeight}, and leaves the order of the queue as it is. */
    OptionalDouble limitWeightToExplain(FairOrder.Demand demand, List<Route> routes) {
        return limits.weight(demand, queue.isKindUnderserved(demand), routes);
    }

    /** Records that a request is sent, whether it was queued or not. */
    void onPlaced(Exchange exchange, FairOrder.Demand demand) {
        refusals.onPlaced(exchange, demand);
        queue.onPlaced(exchange, demand, clocks.nowMillis());
    }

    /** Returns whether a new request is to be tried with the queue, after more urgent ones of its service. */
    boolean hasMoreUrgent(FairOrder.Demand demand) {
        return queue.hasMoreUrgent(demand);
    }

    /**
     * Returns the prompt tokens reserved for a request at an upstream.
     *
     * @param exchange the request
     * @param incarnation the upstream's incarnation
     * @return the tokens, zero without a reservation there
     */
    int reservedTokens(Exchange exchange, String incarnation) {
        return reservation
                .filter(reserved -> reserved.exchange() == exchange)
                .filter(reserved -> reserved.incarnation().equals(incarnation))
                .map(Reservation::tokens)
                .orElse(0);
    }

    private void releaseReservation(Exchange exchange) {
        reservation.filter(reserved -> reserved.exchange() == exchange).ifPresent(reserved -> {
            loads.reserveTokens(reserved.incarnation(), -reserved.tokens());
            reservation = Optional.empty();
        });
    }

    private void reserve(Exchange exchange, int tokens) {
        exchange.reservationTarget().ifPresent(server -> {
            loads.reserveTokens(server.incarnation(), tokens);
            reservation = Optional.of(new Reservation(exchange, server.incarnation(), tokens));
        });
    }

    int size() {
        return queue.size();
    }

    /** Returns the number of requests of a service that wait. */
    int size(String service) {
        return queue.size(service);
    }

    private void retry(Exchange exchange, boolean expired, CapacityMisses misses) {
        // The request with the reservation may use capacity that the others may not.
        Optional<CapacityMisses.SizeClass> sizeClass =
                reservation.filter(reserved -> reserved.exchange() == exchange).isPresent()
                        ? Optional.empty()
                        : exchange.sizeClass();
        boolean mayFit = sizeClass.isEmpty() || misses.mayFit(sizeClass.get(), exchange.promptTokens());
        if (exchange.retryQueued(expired, mayFit)) {
            remove(exchange);
            return;
        }
        sizeClass.ifPresent(known -> misses.onMissed(known, exchange.promptTokens()));
        if (reservation.isEmpty()) {
            reserve(exchange, exchange.promptTokens());
        }
    }

    private void retryAll() {
        turns.onEvent();
        long nowMillis = clocks.nowMillis();
        CapacityMisses misses = new CapacityMisses();
        List<Exchange> order = queue.inTryOrder(nowMillis);
        for (Exchange exchange : order) {
            boolean expired = queue.hasExpired(exchange, nowMillis);
            exchange.guarded(() -> retry(exchange, expired, misses));
        }
        refusals.onRound(order, nowMillis);
        scheduled = !queue.isEmpty();
        if (scheduled) {
            loop.schedule(this::retryAll, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
