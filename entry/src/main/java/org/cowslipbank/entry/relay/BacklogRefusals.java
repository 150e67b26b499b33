package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.cowslipbank.decision.relay.FairOrder;
import org.cowslipbank.decision.relay.PlacementPaces;
import org.cowslipbank.decision.relay.WaitingQueue;
import org.cowslipbank.entry.log.LogFields;

/**
 * Refuses new requests of services with many engines that would still wait when they must be given up, at the recent pace of
 * placements. Runs on the traffic thread.
 */
final class BacklogRefusals {
    /** Shortest time between two lines about the refusals of a service. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final PlacementPaces paces = new PlacementPaces();
    private final Map<String, Logged> loggedByService = new HashMap<>();
    private final WaitingQueue<Exchange> queue;
    private final Clocks clocks;
    private final RelayMetrics metrics;
    private final DecisionLog log;
    private Set<String> services = Set.of();

    /** Time of the last line about a service, and its refusals that have no line yet. */
    private static final class Logged {
        private long loggedMillis = Long.MIN_VALUE / 2;
        private int refused;
    }

    /**
     * Creates the refusals from a queue.
     *
     * @param queue the requests that wait
     * @param clocks the clocks
     * @param metrics counts the refusals
     * @param log the structured log
     */
    BacklogRefusals(WaitingQueue<Exchange> queue, Clocks clocks, RelayMetrics metrics, DecisionLog log) {
        this.queue = queue;
        this.clocks = clocks;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Sets the services whose requests may be refused.
     *
     * @param large names of the services with many engines
     */
    void setServices(Set<String> large) {
        services = large;
        loggedByService.keySet().retainAll(large);
    }

    /** Records that a request is about to be sent, whether it was queued or not; called before it leaves the queue. */
    void onPlaced(Exchange exchange, FairOrder.Demand demand) {
        long nowMillis = clocks.nowMillis();
        paces.onPlaced(demand, queue.isLate(exchange, nowMillis), nowMillis);
    }

    /** Records which services have requests that wait for capacity, after all of them were tried. */
    void onRound(List<Exchange> tried, long nowMillis) {
        Set<String> examined = new HashSet<>();
        Set<String> waiting = new HashSet<>();
        Set<String> late = new HashSet<>();
        for (Exchange exchange : tried) {
            String service =
                    queue.demand(exchange).map(FairOrder.Demand::service).orElse("");
            if (!services.contains(service)) {
                continue;
            }
            if (queue.isLate(exchange, nowMillis)) {
                late.add(service);
            }
            // One request that is bound to no upstream tells for all of its service what they wait for.
            boolean first = exchange.sizeClass().isPresent() && examined.add(service);
            if (first && exchange.waitsForCapacity()) {
                waiting.add(service);
            }
        }
        paces.setWaiting(waiting, late, nowMillis);
    }

    /**
     * Decides whether a request that has just been queued is refused.
     *
     * @param exchange the request
     * @param placement its placement
     * @param times its times
     * @return the delay in milliseconds after which its client may come again, or empty if it may wait
     */
    OptionalLong refusalMillis(Exchange exchange, RequestPlacement placement, WaitingQueue.Times times) {
        String service = placement.service();
        if (!services.contains(service)) {
            return OptionalLong.empty();
        }
        long nowMillis = clocks.nowMillis();
        boolean begins = !paces.isWaiting(service);
        if (begins) {
            if (!exchange.waitsForCapacity()) {
                return OptionalLong.empty();
            }
            paces.onWaiting(service, nowMillis);
        }
        Optional<PlacementPaces.Recent> recent = paces.recent(service, nowMillis);
        if (recent.isEmpty() || !exchange.isUnsent() || queue.isBehindLessUrgent(placement.demand())) {
            return OptionalLong.empty();
        }
        // Asked after the pace, because it looks at all upstreams of the service.
        if (!begins && !exchange.waitsForCapacity()) {
            return OptionalLong.empty();
        }
        WaitingQueue.Backlog backlog = queue.backlog(exchange, nowMillis);
        OptionalLong refusal = recent.get().refusalMillis(backlog, times, nowMillis);
        if (refusal.isEmpty() || placement.choose(Set.of()).isPresent()) {
            // A request that was queued behind more urgent ones has not been tried, and may fit where they do not.
            return OptionalLong.empty();
        }
        long delayMillis = Math.max(Exchange.RETRY_AFTER_MILLIS, refusal.getAsLong());
        metrics.onBacklogRefusal();
        report(service, backlog, recent.get().all(), delayMillis);
        return OptionalLong.of(delayMillis);
    }

    private void report(String service, WaitingQueue.Backlog backlog, PlacementPaces.Pace pace, long delayMillis) {
        Logged logged = loggedByService.computeIfAbsent(service, name -> new Logged());
        logged.refused++;
        long nowMillis = clocks.nowMillis();
        if (nowMillis - logged.loggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        log.logState(LogFields.event("requests refused because of the backlog")
                .field("service", service)
                .field("refused", logged.refused)
                .field("waiting", backlog.requests())
                .field("waitingCost", backlog.cost())
                .field("lateWaiting", backlog.lateRequests())
                .field("placementsPerSecond", Math.round(pace.requestsPerMilli() * 1_000))
                .field("costPerSecond", Math.round(pace.costPerMilli() * 1_000))
                .field("retryAfterMillis", delayMillis));
        logged.loggedMillis = nowMillis;
        logged.refused = 0;
    }
}
