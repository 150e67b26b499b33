package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import org.cowslipbank.model.relay.Route;

/**
 * Decides whether the capacity of a service's engines is limited by the priority of requests instead of by their length.
 *
 * <p>Engines take short prompts up to a larger limit than long ones. Where the long prompts are the most urgent ones, the
 * short ones keep an engine above the limit of the long ones, which then wait until they are given up. So in a service
 * whose routes of the most urgent priority have longer prompts than all others, the limits follow the priority: the most
 * urgent requests get the larger limits, the least urgent ones the smaller, and a kind that goes first because it was
 * underserved has the limits of the most urgent one. Every other service keeps the limits by length:
 * one with a single priority, and one where a less urgent route has prompts that are as long. The configuration does not
 * state how long prompts are, so each node learns it for each route from its own recent requests; until it knows the most
 * urgent routes and another one, the limits by length hold. Confined to the traffic thread.
 */
public final class PriorityLimits {
    /** Requests of a route after which its typical prompt length is known; within a kind, lengths differ by half. */
    static final int KNOWN_REQUESTS = 5;

    /** Weight of the newest request in a route's typical length, after the first ten. */
    static final double NEWEST_WEIGHT = 0.1;

    /**
     * How many times as long as all others the prompts of the most urgent routes must be. Routes of about the same length
     * have about the same limits by length, and would change between the two with each sample.
     */
    static final double LONGER_TIMES = 2;

    private final Map<Kind, Length> lengths = new HashMap<>();

    /** The routes in force; a configuration keeps its list, so that the services' routes are found once for each. */
    private List<Route> routes = List.of();

    private final Map<String, ServiceRoutes> routesByService = new HashMap<>();

    private record Kind(String service, String route) {}

    /** The routes that lead to one service, by whether they have its most urgent priority. */
    private record ServiceRoutes(int mostUrgent, int leastUrgent, List<Kind> urgent, List<Kind> others) {
        static ServiceRoutes of(String service, List<Route> all) {
            List<Route> leading =
                    all.stream().filter(route -> leadsTo(route, service)).toList();
            int mostUrgent = leading.stream().mapToInt(Route::priority).min().orElse(Integer.MAX_VALUE);
            int leastUrgent = leading.stream().mapToInt(Route::priority).max().orElse(Integer.MIN_VALUE);
            Map<Boolean, List<Kind>> kinds = leading.stream()
                    .collect(Collectors.partitioningBy(
                            route -> route.priority() == mostUrgent,
                            Collectors.mapping(route -> new Kind(service, route.name()), Collectors.toList())));
            return new ServiceRoutes(mostUrgent, leastUrgent, kinds.get(true), kinds.get(false));
        }
    }

    private static final class Length {
        private int requests;
        private double tokens;

        private void add(long promptTokens) {
            requests++;
            tokens += Math.max(NEWEST_WEIGHT, 1.0 / requests) * (promptTokens - tokens);
        }
    }

    /**
     * Takes over the routes of a configuration, and forgets the lengths of routes that it does not have or that no longer lead to
     * their service. A request that began before may have its route's length known again until the next configuration.
     *
     * @param all all routes of the configuration
     */
    public void setRoutes(List<Route> all) {
        if (all == routes) {
            return;
        }
        routes = all;
        routesByService.clear();
        Set<Kind> kinds = new HashSet<>();
        for (Route route : all) {
            route.services().stream()
                    .filter(share -> share.weight() > 0)
                    .forEach(share -> kinds.add(new Kind(share.service(), route.name())));
        }
        lengths.keySet().retainAll(kinds);
    }

    /**
     * Returns the number of routes with a known or partly known length.
     *
     * @return the number, counting a route once for each of its services
     */
    int size() {
        return lengths.size();
    }

    /**
     * Records the length of a request's prompt.
     *
     * @param demand what the request asks for
     */
    public void onRequest(FairOrder.Demand demand) {
        lengths.computeIfAbsent(new Kind(demand.service(), demand.kind()), kind -> new Length())
                .add(demand.cost());
    }

    /**
     * Returns how far a request's limits are from the larger ones towards the smaller ones.
     *
     * @param demand what the request asks for
     * @param first true if its kind goes first because it was underserved
     * @param all all routes of the configuration
     * @return zero for the most urgent priority of the service, one for the least urgent; empty if the limits follow the
     *     length of the prompt
     */
    public OptionalDouble weight(FairOrder.Demand demand, boolean first, List<Route> all) {
        ServiceRoutes ofService = routesTo(demand.service(), all);
        if (ofService.mostUrgent() >= ofService.leastUrgent() || !areUrgentLonger(ofService)) {
            return OptionalDouble.empty();
        }
        if (first) {
            return OptionalDouble.of(0);
        }
        double weight = (demand.priority() - ofService.mostUrgent())
                / (double) (ofService.leastUrgent() - ofService.mostUrgent());
        return OptionalDouble.of(Math.max(0, Math.min(1, weight)));
    }

    private ServiceRoutes routesTo(String service, List<Route> all) {
        setRoutes(all);
        return routesByService.computeIfAbsent(service, name -> ServiceRoutes.of(name, all));
    }

    private boolean areUrgentLonger(ServiceRoutes ofService) {
        double shortestUrgent = Double.MAX_VALUE;
        for (Kind kind : ofService.urgent()) {
            Length length = lengths.get(kind);
            if (!isKnown(length)) {
                return false;
            }
            shortestUrgent = Math.min(shortestUrgent, length.tokens);
        }
        double longestOther = 0;
        for (Kind kind : ofService.others()) {
            Length length = lengths.get(kind);
            longestOther = Math.max(longestOther, isKnown(length) ? length.tokens : 0);
        }
        return longestOther > 0 && shortestUrgent >= LONGER_TIMES * longestOther;
    }

    private static boolean isKnown(Length length) {
        return length != null && length.requests >= KNOWN_REQUESTS;
    }

    private static boolean leadsTo(Route route, String service) {
        return route.services().stream()
                .anyMatch(share -> share.weight() > 0 && share.service().equals(service));
    }
}
