package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * How often the requests of each kind and team were served lately at this node, and what each team got, by service. All
 * figures decay, so that a burst that is over and a configuration that is replaced are forgotten.
 *
 * <p>The load that this answers is lasting overload: a strict order by priority would leave nothing to the least urgent
 * kind, and fair shares by cost nearly nothing to a team that sends half of all requests. Confined to the traffic thread.
 */
final class ServedShares {
    /** Time after which a figure counts half: some ten requests of a kind at a node that gets ten a second. */
    static final double HALF_LIFE_MILLIS = 5_000;

    /** A kind or team is underserved if less than this part of the share of the whole demand was served. */
    static final double UNDERSERVED_PART = 0.5;

    /** Requests that a kind or team is assumed to have had served like all; so one or two misses are no sign. */
    static final double PRIOR_REQUESTS = 2;

    /** Interval at which the figures decay; a tenth of a second changes them by 1.4%. */
    private static final long DECAY_INTERVAL_MILLIS = 100;

    /** Number of requests below which a figure is forgotten. */
    private static final double FORGOTTEN_REQUESTS = 0.01;

    private final Map<String, Service> byService = new HashMap<>();
    private boolean started;
    private long decayedMillis;

    /** Figures of one kind or team. */
    private static final class Tally {
        private double asked;
        private double served;
        private double askedCost;
        /** Cost of what was served. */
        private double cost;
        /** Priority of the last request; zero is the most urgent. */
        private int priority;

        private boolean decay(double factor) {
            asked *= factor;
            served *= factor;
            askedCost *= factor;
            cost *= factor;
            return asked < FORGOTTEN_REQUESTS;
        }

        /**
         * Returns the part of the demand that was served, by cost. By number of requests it would fall with each short
         * request that is left out for a long one, and the bound of the underserved with it.
         */
        private double servedPart() {
            return askedCost == 0 ? 0 : cost / askedCost;
        }

        private boolean isUnderserved(Tally all) {
            double servedByPrior = PRIOR_REQUESTS * all.servedPart();
            return served + servedByPrior < UNDERSERVED_PART * all.servedPart() * (asked + PRIOR_REQUESTS);
        }
    }

    /** Figures of one service. */
    private static final class Service {
        private final Tally all = new Tally();
        private final Map<String, Tally> byKind = new HashMap<>();
        private final Map<String, Tally> byTeam = new HashMap<>();
    }

    /**
     * Records that a request was sent or started.
     *
     * @param demand what it asked for
     * @param counted true if it was recorded as missed before
     * @param nowMillis the time in milliseconds
     */
    void onServed(FairOrder.Demand demand, boolean counted, long nowMillis) {
        record(demand, counted ? 0 : 1, 1, nowMillis);
    }

    /**
     * Records that a request has become late or ended before it was sent.
     *
     * @param demand what it asked for
     * @param nowMillis the time in milliseconds
     */
    void onMissed(FairOrder.Demand demand, long nowMillis) {
        record(demand, 1, 0, nowMillis);
    }

    private void record(FairOrder.Demand demand, int asked, int served, long nowMillis) {
        decay(nowMillis);
        Service service = byService.computeIfAbsent(demand.service(), name -> new Service());
        Tally kind = service.byKind.computeIfAbsent(demand.kind(), name -> new Tally());
        Tally team = service.byTeam.computeIfAbsent(demand.team(), name -> new Tally());
        for (Tally tally : new Tally[] {service.all, kind, team}) {
            tally.priority = demand.priority();
            tally.asked += asked;
            tally.served += served;
            tally.askedCost += (double) asked * demand.cost();
            tally.cost += (double) served * demand.cost();
        }
    }

    private void decay(long nowMillis) {
        if (!started) {
            started = true;
            decayedMillis = nowMillis;
        }
        long elapsedMillis = nowMillis - decayedMillis;
        if (elapsedMillis < DECAY_INTERVAL_MILLIS) {
            return;
        }
        decayedMillis = nowMillis;
        double factor = Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
        byService.values().removeIf(service -> {
            service.byKind.values().removeIf(tally -> tally.decay(factor));
            service.byTeam.values().removeIf(tally -> tally.decay(factor));
            return service.all.decay(factor);
        });
    }

    /**
     * Returns whether requests of a kind were served less than half as often as its service's whole demand.
     *
     * @param demand what a request asks for
     * @return true if the kind was underserved lately
     */
    boolean isKindUnderserved(FairOrder.Demand demand) {
        Service service = byService.get(demand.service());
        Tally kind = service == null ? null : service.byKind.get(demand.kind());
        return kind != null && kind.isUnderserved(service.all);
    }

    /**
     * Returns whether requests of a team were served less than half as often as the service's whole demand.
     *
     * @param demand what a request asks for
     * @return true if the team was underserved lately
     */
    boolean isTeamUnderserved(FairOrder.Demand demand) {
        Service service = byService.get(demand.service());
        Tally team = service == null ? null : service.byTeam.get(demand.team());
        return team != null && team.isUnderserved(service.all);
    }

    /**
     * Returns whether requests of a kind were served less often than those of a less urgent kind of the service.
     *
     * @param demand what a request of the kind asks for
     * @return false if no less urgent kind has asked lately
     */
    boolean isBehindLessUrgent(FairOrder.Demand demand) {
        Service service = byService.get(demand.service());
        Tally kind = service == null ? null : service.byKind.get(demand.kind());
        return kind != null
                && service.byKind.values().stream()
                        .anyMatch(other -> other.priority > demand.priority()
                                && other.served * kind.asked > kind.served * other.asked);
    }

    /**
     * Returns the decayed cost of what a team got at a service.
     *
     * @param demand what a request asks for
     * @return the cost in the unit of the demand, zero for a team without recent requests
     */
    double teamCost(FairOrder.Demand demand) {
        Service service = byService.get(demand.service());
        Tally team = service == null ? null : service.byTeam.get(demand.team());
        return team == null ? 0 : team.cost;
    }
}
