package org.cowslipbank.decision.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Pace at which this node has placed the requests of each service recently, and the refusals that follow from it: a new
 * request that would still be waiting when it must be given up is refused on arrival.
 *
 * <p>Only the time in which requests waited for capacity counts, and only what was placed in that time. Time without any
 * placement beyond {@link #STALL_MILLIS} does not count either: upstreams that fail together and a process without processor
 * time end the placements, and neither is a pace. A service whose pace is not known refuses nothing.
 *
 * <p>A wait is forecast by cost and by number of requests, and the shorter forecast counts. By cost alone, a short request
 * would be refused because of long ones before it that it overtakes, since engines have room for short prompts while they
 * have none for long ones. A request that will be late also waits behind all that arrives after it and can be on time. So
 * its wait follows from the pace at which late requests were placed, which is what the others leave.
 *
 * <p>The load that this answers is arrivals at 1.5 to 2 times the capacity for some seconds. Without the forecast, a request
 * is held for seconds and then refused, although the queue showed on its arrival that it would not be served. Confined to the
 * traffic thread.
 */
public final class PlacementPaces {
    /** Time over which the pace is measured. */
    static final long WINDOW_MILLIS = 2_000;

    /** Placements in the window below which the pace is not known. */
    static final int MIN_PLACEMENTS = 10;

    /** Waiting requests of a service below which nothing is refused. */
    static final int MIN_WAITING = 10;

    /** Longest time after a placement that counts; at the least known pace the mean time between two is 200 ms. */
    static final long STALL_MILLIS = 500;

    /** Time for which late requests must have waited before their pace is known; it may be zero. */
    static final long MIN_LATE_MILLIS = 1_000;

    private static final long BUCKET_MILLIS = 100;
    private static final int BUCKETS = (int) (WINDOW_MILLIS / BUCKET_MILLIS);

    private final Map<String, Service> byName = new HashMap<>();

    /**
     * Pace of a service's placements while requests waited.
     *
     * @param requestsPerMilli placements per millisecond
     * @param costPerMilli their cost per millisecond, in the unit of {@link FairOrder.Demand}
     */
    public record Pace(double requestsPerMilli, double costPerMilli) {
        private double millisFor(int requests, long cost) {
            return Math.min(millisFor(requests, requestsPerMilli), millisFor(cost, costPerMilli));
        }

        private static double millisFor(double amount, double perMilli) {
            return amount == 0 ? 0 : amount / perMilli;
        }
    }

    /**
     * Paces of a service, by which the waits of new requests are forecast.
     *
     * @param all pace of all placements
     * @param late pace of the placements of late requests, empty if it is not known
     */
    public record Recent(Pace all, Optional<Pace> late) {
        /**
         * Decides whether a new request is refused, because it cannot start before it must be given up.
         *
         * @param backlog the requests of the service that wait
         * @param times times of the request
         * @param nowMillis the time in milliseconds
         * @return the time in milliseconds until all that waits now will have been placed, or empty if the request may wait
         */
        public OptionalLong refusalMillis(WaitingQueue.Backlog backlog, WaitingQueue.Times times, long nowMillis) {
            if (times.begun() || backlog.requests() < MIN_WAITING) {
                return OptionalLong.empty();
            }
            double startMillis = nowMillis + all.millisFor(backlog.requestsBefore(), backlog.costBefore());
            if (startMillis > times.onTimeUntilMillis()) {
                startMillis = Math.max(startMillis, nowMillis + lateMillis(backlog));
            }
            return startMillis > times.giveUpMillis()
                    ? OptionalLong.of((long) Math.ceil(Pace.millisFor(backlog.cost(), all.costPerMilli())))
                    : OptionalLong.empty();
        }

        /** Returns the time after which all late requests will have been placed; zero if their pace is not known. */
        private double lateMillis(WaitingQueue.Backlog backlog) {
            return late.map(pace -> pace.millisFor(backlog.lateRequests(), backlog.lateCost()))
                    .orElse(0.0);
        }
    }

    /** What was placed, and for how long requests waited. */
    private static final class Tally {
        private int placements;
        private long cost;
        private long millis;

        private void add(Tally other) {
            placements += other.placements;
            cost += other.cost;
            millis += other.millis;
        }

        private void onPlaced(long placedCost) {
            placements++;
            cost += placedCost;
        }

        private Pace pace() {
            return new Pace(placements / (double) millis, cost / (double) millis);
        }
    }

    /** A part of the window. */
    private static final class Bucket {
        private final long number;
        private final Tally all = new Tally();
        private final Tally late = new Tally();

        Bucket(long number) {
            this.number = number;
        }
    }

    /** Figures of one service. */
    private static final class Service {
        private final Bucket[] buckets = new Bucket[BUCKETS];
        private boolean waiting;
        private boolean lateWaiting;
        private long countedUntilMillis;
        /** Time of the last placement, or of the begin of the waiting if that is later. */
        private long progressMillis;

        private Bucket bucket(long atMillis) {
            long number = Math.floorDiv(atMillis, BUCKET_MILLIS);
            int index = (int) Math.floorMod(number, (long) BUCKETS);
            if (buckets[index] == null || buckets[index].number != number) {
                buckets[index] = new Bucket(number);
            }
            return buckets[index];
        }

        private void setWaiting(boolean waits, boolean lateWaits, long nowMillis) {
            countTime(nowMillis);
            if (waits && !waiting) {
                progressMillis = nowMillis;
                countedUntilMillis = nowMillis;
            }
            waiting = waits;
            lateWaiting = lateWaits;
        }

        private void countTime(long nowMillis) {
            if (!waiting) {
                return;
            }
            long untilMillis = Math.min(nowMillis, progressMillis + STALL_MILLIS);
            while (countedUntilMillis < untilMillis) {
                Bucket bucket = bucket(countedUntilMillis);
                long endMillis = Math.min(untilMillis, (bucket.number + 1) * BUCKET_MILLIS);
                bucket.all.millis += endMillis - countedUntilMillis;
                bucket.late.millis += lateWaiting ? endMillis - countedUntilMillis : 0;
                countedUntilMillis = endMillis;
            }
        }

        private void onPlaced(long cost, boolean late, long nowMillis) {
            countTime(nowMillis);
            if (!waiting) {
                return;
            }
            Bucket bucket = bucket(nowMillis);
            bucket.all.onPlaced(cost);
            if (late) {
                bucket.late.onPlaced(cost);
            }
            progressMillis = nowMillis;
            countedUntilMillis = nowMillis;
        }

        private boolean isOutdated(long nowMillis) {
            return !waiting && nowMillis - countedUntilMillis > WINDOW_MILLIS;
        }

        private boolean isStalled(long nowMillis) {
            return nowMillis - progressMillis > STALL_MILLIS;
        }

        private Bucket sum(long nowMillis) {
            countTime(nowMillis);
            long newest = Math.floorDiv(nowMillis, BUCKET_MILLIS);
            Bucket sum = new Bucket(newest);
            Arrays.stream(buckets)
                    .filter(bucket -> bucket != null && bucket.number > newest - BUCKETS)
                    .forEach(bucket -> {
                        sum.all.add(bucket.all);
                        sum.late.add(bucket.late);
                    });
            return sum;
        }
    }

    /**
     * Records that a request begins to wait for capacity.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     */
    public void onWaiting(String service, long nowMillis) {
        Service known = byName.computeIfAbsent(service, name -> new Service());
        known.setWaiting(true, known.lateWaiting, nowMillis);
    }

    /**
     * Records which services have requests that wait for capacity, after all waiting requests were tried.
     *
     * @param services the services; one whose requests wait for another reason is not among them
     * @param lateServices services of which late requests wait
     * @param nowMillis the time in milliseconds
     */
    public void setWaiting(Set<String> services, Set<String> lateServices, long nowMillis) {
        services.forEach(service -> onWaiting(service, nowMillis));
        byName.forEach(
                (name, service) -> service.setWaiting(services.contains(name), lateServices.contains(name), nowMillis));
        byName.values().removeIf(service -> service.isOutdated(nowMillis));
    }

    /**
     * Records that a request got capacity; it counts if requests of its service waited.
     *
     * @param demand what it asked for
     * @param late true if it was late
     * @param nowMillis the time in milliseconds
     */
    public void onPlaced(FairOrder.Demand demand, boolean late, long nowMillis) {
        Service service = byName.get(demand.service());
        if (service != null) {
            service.onPlaced(demand.cost(), late, nowMillis);
        }
    }

    /**
     * Returns whether requests of a service wait for capacity, as recorded last.
     *
     * @param service the service
     * @return true since the begin of their waiting
     */
    public boolean isWaiting(String service) {
        Service known = byName.get(service);
        return known != null && known.waiting;
    }

    /**
     * Returns the recent paces of a service's placements.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     * @return the paces, or empty if no request waits for capacity or too little was placed while requests waited
     */
    public Optional<Recent> recent(String service, long nowMillis) {
        Service known = byName.get(service);
        if (known == null || !known.waiting || known.isStalled(nowMillis)) {
            return Optional.empty();
        }
        Bucket sum = known.sum(nowMillis);
        if (sum.all.placements < MIN_PLACEMENTS || sum.all.millis == 0) {
            return Optional.empty();
        }
        Optional<Pace> late = sum.late.millis < MIN_LATE_MILLIS ? Optional.empty() : Optional.of(sum.late.pace());
        return Optional.of(new Recent(sum.all.pace(), late));
    }
}
