package org.cowslipbank.decision.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Keeps all nodes together from overrunning upstreams that fall over if they have to reject more requests in a second than
 * they state.
 *
 * <p>Load pattern: requests are shorter than the time in which nodes learn of each other's load, so many nodes fill the last
 * slot of an upstream at once. Every node therefore has a fixed share of the upstream's slots and of a quarter of the rejections
 * that it withstands, and keeps no more than its share in flight. A slot is free again once the upstream has answered; after
 * a rejection or a request without an answer it stays taken for a second. What may be rejected within a second from all
 * nodes is so bounded by the shares alone, without knowledge of other nodes' load. The shares of the upstreams of a service
 * follow each other in the order of the nodes, so that every node has nearly the same number. Where a plain service has
 * fewer slots than there are nodes, the shares move on in turns. A node that joins the others uses its share only once they have
 * learned of it and have given it up. An upstream that has not answered yet counts as the last
 * answer of any upstream of its service says, because upstreams that fall over come back in the same need. Confined to the
 * traffic thread, except {@link #size} and {@link #rejections}.
 */
public final class BrittleUpstreams {
    /** Time for which a rejected request keeps its slot; the second of the statement and the resolution of the clock. */
    static final long HOLD_MILLIS = 1_100;

    /** Time after which the last answer within the service counts for an upstream that has not answered this node since. */
    static final long STATEMENT_VALID_MILLIS = 30_000;

    /** Duration of a turn where a plain service has fewer slots than there are nodes; plain requests take up to 110 ms. */
    static final long TURN_MILLIS = 200;

    /** Part of a turn at its end in which no request is sent, so that most have ended when the slots move on. */
    static final long TURN_MARGIN_MILLIS = 60;

    /** Part of the stated rejections that is shared among the nodes; the rest is for nodes that disagree on the shares. */
    private static final int SHARED_PART = 4;

    /** Time after a node has joined until it uses its share; the others learn of it within a second, and their requests end. */
    static final long SETTLING_MILLIS = SendingNodes.SETTLING_MILLIS;

    private static final Statement NO_STATEMENT = new Statement(OptionalInt.empty(), Long.MIN_VALUE);

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<Integer, Upstream> upstreamByKey = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private int nodes = 1;
    private int nodeIndex;
    private OptionalLong settledAtMillis = OptionalLong.empty();
    private volatile int size;
    private volatile long rejections;

    /**
     * What an upstream last stated about the rejections that it withstands.
     *
     * @param upstream short hash of the upstream's incarnation
     * @param maxRejectionsPerSecond rejections that it withstands, empty if it no longer names a number
     * @param ageMillis time since the observation, in milliseconds
     */
    public record Observation(int upstream, OptionalInt maxRejectionsPerSecond, long ageMillis) {}

    /** What an answer has changed. */
    public enum Change {
        /** The upstream begins to say that it is brittle. */
        BEGUN,
        /** The upstream states another number of rejections. */
        CHANGED,
        /** The upstream no longer says that it is brittle. */
        ENDED
    }

    private record Statement(OptionalInt maxRejections, long observedMillis) {
        private boolean isBrittle() {
            return maxRejections.isPresent();
        }

        private boolean isValid(long nowMillis) {
            return nowMillis - STATEMENT_VALID_MILLIS < observedMillis;
        }
    }

    /** The upstreams of one service, and what one of them stated last. */
    private static final class Service {
        private Statement newest = NO_STATEMENT;
        private int slots;
        private boolean plain = true;
    }

    private static final class Upstream {
        private final int key;
        private final Service service;
        private final Deque<Long> heldUntilMillis = new ArrayDeque<>();
        private Statement statement = NO_STATEMENT;
        private OptionalLong changedMillis = OptionalLong.empty();
        private int slots;
        private int firstUnit;

        Upstream(int key, Service service) {
            this.key = key;
            this.service = service;
        }
    }

    /**
     * Sets among how many nodes the slots are shared.
     *
     * @param sharingNodes number of nodes
     * @param ownIndex the place of this node among them, from zero; empty if its own registration is not among them
     * @param nowMillis the time in milliseconds
     */
    public void setShare(int sharingNodes, OptionalInt ownIndex, long nowMillis) {
        nodes = Math.max(1, sharingNodes);
        nodeIndex = ownIndex.orElse(0);
        if (settledAtMillis.isEmpty() && ownIndex.isPresent()) {
            settledAtMillis = OptionalLong.of(nowMillis + SETTLING_MILLIS);
        }
    }

    // Registrations vanish when the metadata store is disturbed, so a node that has joined once keeps its share.
    private boolean isSettled(long nowMillis) {
        return settledAtMillis.isPresent() && nowMillis >= settledAtMillis.getAsLong();
    }

    /**
     * Sets the registered upstreams, and forgets those that no longer exist. What a service's upstreams stated is kept.
     *
     * @param servers the registered upstreams
     */
    public void setUpstreams(Collection<UpstreamServer> servers) {
        Map<String, List<UpstreamServer>> byService = new TreeMap<>();
        servers.forEach(server -> byService
                .computeIfAbsent(server.service(), name -> new ArrayList<>())
                .add(server));
        Map<String, Upstream> known = Map.copyOf(upstreams);
        upstreams.clear();
        upstreamByKey.clear();
        byService.forEach((name, members) -> {
            Service service = services.computeIfAbsent(name, added -> new Service());
            service.slots = 0;
            service.plain = true;
            members.sort(Comparator.comparing(UpstreamServer::incarnation));
            members.forEach(server -> add(server, service, known.get(server.incarnation())));
        });
        services.entrySet()
                .removeIf(entry -> !byService.containsKey(entry.getKey()) && entry.getValue().newest == NO_STATEMENT);
        updateSize();
    }

    private void updateSize() {
        size = (int) upstreams.values().stream()
                .filter(upstream -> upstream.statement.isBrittle())
                .count();
    }

    private void add(UpstreamServer server, Service service, Upstream known) {
        Upstream upstream = known != null && known.service == service
                ? known
                : new Upstream(UpstreamLimits.keyOf(server.incarnation()), service);
        upstream.slots = Math.max(1, server.slots());
        upstream.firstUnit = service.slots;
        service.slots += upstream.slots;
        service.plain &= server.versionByModel().isEmpty();
        upstreams.put(server.incarnation(), upstream);
        upstreamByKey.put(upstream.key, upstream);
    }

    /**
     * Records an answer of an upstream.
     *
     * @param incarnation the upstream's incarnation
     * @param maxRejections rejections a second that it withstands, empty if the answer names none
     * @param sentMillis when the answered request was sent; an answer without a number ends only earlier observations
     * @param nowMillis the time in milliseconds
     * @return what this node did not know before, empty if nothing has changed
     */
    public Optional<Change> onAnswer(String incarnation, OptionalInt maxRejections, long sentMillis, long nowMillis) {
        Upstream upstream = upstreams.get(incarnation);
        if (upstream == null) {
            return Optional.empty();
        }
        OptionalInt before = upstream.statement.maxRejections();
        if (maxRejections.isEmpty() && before.isPresent() && sentMillis < upstream.statement.observedMillis()) {
            return Optional.empty();
        }
        observe(upstream, new Statement(maxRejections, nowMillis), nowMillis);
        if (before.equals(maxRejections)) {
            return Optional.empty();
        }
        if (before.isEmpty()) {
            return Optional.of(Change.BEGUN);
        }
        return Optional.of(maxRejections.isPresent() ? Change.CHANGED : Change.ENDED);
    }

    /**
     * Records what another node has observed, if it is newer than what this node knows.
     *
     * @param observation the observation
     * @param nowMillis the time in milliseconds
     */
    public void onObservation(Observation observation, long nowMillis) {
        Upstream upstream = upstreamByKey.get(observation.upstream());
        long observedMillis = nowMillis - Math.max(0, observation.ageMillis());
        if (upstream != null && upstream.statement.observedMillis() < observedMillis) {
            observe(upstream, new Statement(observation.maxRejectionsPerSecond(), observedMillis), nowMillis);
        }
    }

    private void observe(Upstream upstream, Statement statement, long nowMillis) {
        boolean differs = !upstream.statement.maxRejections().equals(statement.maxRejections());
        upstream.statement = statement;
        if (differs) {
            upstream.changedMillis = OptionalLong.of(nowMillis);
            updateSize();
        }
        Service service = upstream.service;
        if (service.newest.observedMillis() <= statement.observedMillis()) {
            service.newest = statement;
        }
    }

    /**
     * Returns whether this node may send a request now.
     *
     * @param server the upstream
     * @param inFlight requests that this node has in flight at it
     * @param now the time
     * @return false while this node's share of a brittle upstream's slots is used up
     */
    public boolean maySend(UpstreamServer server, int inFlight, LeaderLease.ClockReading now) {
        Upstream upstream = upstreams.get(server.incarnation());
        if (upstream == null) {
            // It was registered a moment ago and has no share yet.
            Service service = services.get(server.service());
            return service == null || !service.newest.isBrittle();
        }
        if (upstream.service.newest == NO_STATEMENT) {
            // Nothing is known of the service, as after the start of a node. One request at a time soon tells what a
            // plain service states; engines may take a second to answer, and would be left idle for that time.
            boolean oneAtATime = upstream.service.plain && !isSettled(now.monotonicMillis());
            return inFlight < (oneAtATime ? 1 : Math.max(1, share(upstream, 0, now.wallMillis())));
        }
        OptionalInt maxRejections = maxRejections(upstream, now.monotonicMillis());
        if (maxRejections.isEmpty()) {
            return true;
        }
        if (!isSettled(now.monotonicMillis())) {
            return false;
        }
        while (!upstream.heldUntilMillis.isEmpty() && upstream.heldUntilMillis.peekFirst() <= now.monotonicMillis()) {
            upstream.heldUntilMillis.removeFirst();
        }
        return inFlight + upstream.heldUntilMillis.size() < share(upstream, maxRejections.getAsInt(), now.wallMillis());
    }

    /**
     * Returns whether an upstream is brittle, as far as this node knows.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if it, or lately another one of its service, said so
     */
    public boolean isBrittle(String incarnation, long nowMillis) {
        Upstream upstream = upstreams.get(incarnation);
        return upstream != null && maxRejections(upstream, nowMillis).isPresent();
    }

    private static OptionalInt maxRejections(Upstream upstream, long nowMillis) {
        if (upstream.statement.isValid(nowMillis)) {
            return upstream.statement.maxRejections();
        }
        Statement ofService = upstream.service.newest;
        return ofService.isValid(nowMillis) ? ofService.maxRejections() : OptionalInt.empty();
    }

    /** Returns how many requests this node may have in flight; the shares of all nodes add up to what the upstream takes. */
    private int share(Upstream upstream, int maxRejections, long wallMillis) {
        int units = upstream.slots;
        long firstUnit = upstream.firstUnit;
        if (upstream.service.plain && upstream.service.slots < nodes) {
            if (Math.floorMod(wallMillis, TURN_MILLIS) >= TURN_MILLIS - TURN_MARGIN_MILLIS) {
                return 0;
            }
            firstUnit += Math.floorDiv(wallMillis, TURN_MILLIS) * upstream.service.slots;
        } else {
            // In turns a rejection would be repeated by the next node, which does not know of it.
            units += maxRejections / SHARED_PART;
        }
        boolean hasFurtherUnit = Math.floorMod(nodeIndex - firstUnit, (long) nodes) < units % nodes;
        return units / nodes + (hasFurtherUnit ? 1 : 0);
    }

    /**
     * Records that a request of this node has ended. Without an answer, the upstream may still be running it.
     *
     * @param incarnation the upstream's incarnation
     * @param outcome how it ended
     * @param nowMillis the time in milliseconds
     */
    public void onEnded(String incarnation, UpstreamLoads.Outcome outcome, long nowMillis) {
        boolean answered = outcome == UpstreamLoads.Outcome.ANSWERED || outcome == UpstreamLoads.Outcome.FAILED;
        Upstream upstream = upstreams.get(incarnation);
        if (answered || upstream == null || maxRejections(upstream, nowMillis).isEmpty()) {
            return;
        }
        upstream.heldUntilMillis.addLast(nowMillis + HOLD_MILLIS);
        if (outcome == UpstreamLoads.Outcome.REJECTED) {
            rejections++;
        }
    }

    /**
     * Returns what this node should tell the others.
     *
     * @param nowMillis the time in milliseconds
     * @return the observations of upstreams whose statement has changed recently
     */
    public List<Observation> observations(long nowMillis) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.changedMillis.isPresent())
                .filter(upstream -> nowMillis - upstream.changedMillis.getAsLong() < UpstreamLimits.SHARED_MILLIS)
                .map(upstream -> new Observation(
                        upstream.key,
                        upstream.statement.maxRejections(),
                        nowMillis - upstream.statement.observedMillis()))
                .toList();
    }

    /**
     * Returns how many upstreams say that they are brittle. May be called by any thread.
     *
     * @return the number
     */
    public int size() {
        return size;
    }

    /**
     * Returns how many requests of this node brittle upstreams have rejected since its start. May be called by any thread.
     *
     * @return the number
     */
    public long rejections() {
        return rejections;
    }
}
