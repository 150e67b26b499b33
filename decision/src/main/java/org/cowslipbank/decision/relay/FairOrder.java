package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Order in which waiting requests get capacity.
 *
 * <p>Streams whose clients already have events come first. Then come requests of a kind that was served less than half as
 * often as the whole demand of its service lately, so that none waits for ever. Then come the requests that can still be on
 * time, and last the late ones. Within each of these, the more urgent priority goes first; within a priority, first teams
 * that were underserved lately, also their late requests, then the team that got the least lately, and of one team's
 * requests the one that must be sent first. The order leaves no capacity unused: it only tells which request is tried next.
 *
 * <p>Underserved kinds and teams go first only in guarded services, and priorities and the shares of teams count only in
 * services that call for them; the requests of the others follow each other by time.
 *
 * <p>The load that this answers is arrivals at 1.5 to 2 times the capacity for some seconds: the peak of a demand wave, a
 * burst of the least urgent kind, or one team with half of all requests. By latest time alone, short requests of the least
 * urgent kind precede long ones of the most urgent kind, and the team with the most requests gets the most capacity.
 * Confined to the traffic thread.
 */
public final class FairOrder {
    private static final int BEGUN = 0;
    private static final int KIND_UNDERSERVED = 1;
    private static final int ON_TIME = 2;
    private static final int LATE = 3;

    /** Multiplier of the group in a rank, above each sum of a priority and the bit for teams. */
    private static final int GROUP_RANKS = 64;

    /** Added to the time of a late request, so that it follows all of its team and rank that are not late. */
    private static final long LATE_TURN = 1L << 62;

    private static final Comparator<Entry<?>> WITHIN_TEAM = (one, other) ->
            one.rank != other.rank ? Integer.compare(one.rank, other.rank) : Long.compare(one.turn, other.turn);
    private static final Comparator<Entry<?>> AMONG_TEAMS = (one, other) -> {
        if (one.rank != other.rank) {
            return Integer.compare(one.rank, other.rank);
        }
        int byCost = Double.compare(one.teamCost, other.teamCost);
        return byCost != 0 ? byCost : Long.compare(one.turn, other.turn);
    };

    private final ServedShares shares = new ServedShares();
    private Predicate<String> guarded = service -> true;
    private Predicate<String> byPriority = service -> true;

    FairOrder() {}

    /**
     * What a request asks for.
     *
     * @param service name of the service whose capacity it needs; requests of different services do not compete
     * @param kind name of its route
     * @param team name of its team, empty on anonymous routes
     * @param priority its priority from 0 to 9; zero is the most urgent
     * @param cost what it takes of the capacity: prompt tokens at engines, one elsewhere
     */
    public record Demand(String service, String kind, String team, int priority, long cost) {}

    /**
     * A waiting request.
     *
     * @param <T> type of a request
     */
    static final class Entry<T> {
        private final T request;
        private final Demand demand;
        private final WaitingQueue.Times times;
        private boolean missed;
        private int rank;
        private long turn;
        private double teamCost;

        Entry(T request, Demand demand, WaitingQueue.Times times) {
            this.request = request;
            this.demand = demand;
            this.times = times;
        }

        T request() {
            return request;
        }

        Demand demand() {
            return demand;
        }

        WaitingQueue.Times times() {
            return times;
        }
    }

    private record Team(String service, String name) {}

    /**
     * Sets the services in which kinds and teams that were underserved lately go first. The requests of the others follow
     * each other by time alone: streams that have begun, what can be on time by its latest time, and what is late by its
     * arrival.
     *
     * @param services true for such a service
     */
    void setGuarded(Predicate<String> services) {
        guarded = services;
    }

    /**
     * Sets the services in which, besides, priorities and the shares of teams precede the time.
     *
     * @param services true for such a service
     */
    void setByPriority(Predicate<String> services) {
        byPriority = services;
    }

    /**
     * Returns whether the requests of a service are ordered by priority.
     *
     * @param service the service
     * @return false if they are ordered by time
     */
    boolean isByPriority(String service) {
        return guarded.test(service) && byPriority.test(service);
    }

    /**
     * Records that a request got capacity. Services that are ordered by time have no shares, since nothing depends on them.
     *
     * @param demand what it asked for
     * @param nowMillis the time in milliseconds
     */
    void onServed(Demand demand, long nowMillis) {
        if (guarded.test(demand.service())) {
            shares.onServed(demand, false, nowMillis);
        }
    }

    /**
     * Records that a waiting request got capacity.
     *
     * @param entry the request
     * @param nowMillis the time in milliseconds
     */
    void onServed(Entry<?> entry, long nowMillis) {
        if (guarded.test(entry.demand.service())) {
            shares.onServed(entry.demand, entry.missed, nowMillis);
        }
    }

    /**
     * Records that a waiting request has become late or left without capacity. Further calls for it are ignored.
     *
     * @param entry the request
     * @param nowMillis the time in milliseconds
     */
    void onMissed(Entry<?> entry, long nowMillis) {
        if (!entry.missed && guarded.test(entry.demand.service())) {
            entry.missed = true;
            shares.onMissed(entry.demand, nowMillis);
        }
    }

    /**
     * Returns whether a kind of request goes first because it was underserved lately.
     *
     * @param demand what a request of the kind asks for
     * @return true if it was served less than half as often as its service's whole demand
     */
    boolean isKindUnderserved(Demand demand) {
        return guarded.test(demand.service()) && shares.isKindUnderserved(demand);
    }

    /**
     * Returns whether a kind of request was served less often than a less urgent kind of its service.
     *
     * @param demand what a request of the kind asks for
     * @return false if no less urgent kind has asked lately
     */
    boolean isBehindLessUrgent(Demand demand) {
        return shares.isBehindLessUrgent(demand);
    }

    /**
     * Sorts waiting requests.
     *
     * @param waiting the requests
     * @param nowMillis the time in milliseconds
     * @param <T> type of a request
     * @return a new list, the request to be tried first at its beginning
     */
    <T> List<Entry<T>> sort(Collection<Entry<T>> waiting, long nowMillis) {
        List<Entry<T>> order = new ArrayList<>(waiting);
        for (Entry<T> entry : order) {
            if (entry.times.isLate(nowMillis)) {
                onMissed(entry, nowMillis);
            }
        }
        order.forEach(entry -> classify(entry, entry.times.isLate(nowMillis)));
        order.sort(WITHIN_TEAM);
        // A team's second request counts as if its first had been served, so that teams alternate.
        Map<Team, Double> costByTeam = new HashMap<>();
        for (Entry<T> entry : order) {
            Team team = new Team(entry.demand.service(), entry.demand.team());
            entry.teamCost = costByTeam.computeIfAbsent(
                    team, unknown -> isByPriority(entry.demand.service()) ? shares.teamCost(entry.demand) : 0);
            costByTeam.put(team, entry.teamCost + (isByPriority(entry.demand.service()) ? entry.demand.cost() : 0));
        }
        order.sort(AMONG_TEAMS);
        return order;
    }

    private void classify(Entry<?> entry, boolean late) {
        entry.turn = late ? LATE_TURN + entry.times.arrivedMillis() : entry.times.onTimeUntilMillis();
        if (!guarded.test(entry.demand.service())) {
            int byTime = late ? LATE : ON_TIME;
            entry.rank = (entry.times.begun() ? BEGUN : byTime) * GROUP_RANKS;
            return;
        }
        boolean teamUnderserved = shares.isTeamUnderserved(entry.demand);
        int group;
        if (entry.times.begun()) {
            group = BEGUN;
        } else if (shares.isKindUnderserved(entry.demand)) {
            group = KIND_UNDERSERVED;
        } else {
            group = late && !teamUnderserved ? LATE : ON_TIME;
        }
        int priority = isByPriority(entry.demand.service()) ? entry.demand.priority() : 0;
        entry.rank = group * GROUP_RANKS + 2 * priority + (teamUnderserved ? 0 : 1);
    }
}
