package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides whether this node is cut off from the upstreams: it can open a connection to none of them while other nodes
 * exchange data with them.
 *
 * <p>It answers a load pattern in which the links of some nodes to all upstreams fail at once, while clients, the metadata store and the other
 * nodes still reach these nodes. Such a node sees the same failures as if the upstreams were down, but the opposite answer
 * is right: when the upstreams are down it keeps or refuses its requests, and when it is cut off it passes them to another
 * node. So own failures only lead to probes. The state begins once probes to all upstreams, or to {@link #MAX_PROBED} of
 * them and to some of each service, have failed and another node had contact with an upstream after the failures began. Data on connections that were
 * open before is no counter-evidence, because these may live on while new ones fail. The state ends when connections to
 * {@link #PROBES_TO_END} upstreams could be opened. Confined to the traffic thread, but for
 * {@link #isCutOff}.
 */
public final class UpstreamReachability {
    /** Largest number of upstreams that must be unreachable before the state begins. */
    static final int MAX_PROBED = 8;

    /** Upstreams that must be unreachable before the others are probed. */
    static final int SUSPICIOUS_FAILURES = 2;

    /** Silence of all upstreams with requests in flight after which {@link #SUSPICIOUS_FAILURES} of them are probed. */
    static final long SILENT_MILLIS = 500;

    /** Time without contact after which one failure is enough for probes. */
    static final long QUIET_MILLIS = 200;

    /** Time after a connection was opened in which silence leads to no further probes. */
    static final long SILENCE_EXCUSED_MILLIS = 1_000;

    /** Interval at which one upstream is probed while all that were probed are unreachable. */
    static final long REPEATED_PROBE_INTERVAL_MILLIS = 250;

    /** Upstreams that must have been reached before the state ends. */
    static final int PROBES_TO_END = 2;

    /** Time after which one upstream that was reached is enough to end the state, if no other one can be. */
    static final long REACHED_TO_END_MILLIS = 1_000;

    /** Time for which a failed or successful probe counts. */
    static final long PROBE_VALID_MILLIS = 4_000;

    /**
     * Time by which the contact of another node must be later than this node's first failure. Reports
     * are older by the delay of the digest, which a slow node reads late.
     */
    static final long CONTACT_MARGIN_MILLIS = 250;

    /** Age up to which the contact of other nodes counts. */
    static final long CONTACT_VALID_MILLIS = 1_500;

    /** Reported instead of an age by a node that reaches no upstream, so that nodes without requests probe one. */
    public static final long QUERY = -1;

    /** Time for which a question of another node is answered, and age of a contact that needs no probe for it. */
    static final long QUERY_MILLIS = 500;

    /** Time of an event that has not happened. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Failures> failures = new HashMap<>();
    private final Map<String, Long> reachedAtMillis = new HashMap<>();
    private final Map<String, Long> probedAtMillis = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private long contactMillis = NEVER;
    private long connectedMillis = NEVER;
    private final Map<FleetLoads.Source, Long> contactMillisBySource = new HashMap<>();
    private long brokenMillis = NEVER;
    private long lastProbeMillis = NEVER;
    private long queriedMillis = NEVER;
    private boolean unconfirmed;
    private volatile boolean cutOff;

    /** Connections to an upstream that could not be opened, since the last one that could. */
    private record Failures(long firstMillis, long lastMillis) {}

    /**
     * What a step has changed, and what it asks for.
     *
     * @param probes addresses of upstreams to which a connection should be opened
     * @param begun true if the node is cut off since this step
     * @param ended true if it is no longer cut off since this step
     */
    public record Step(List<String> probes, boolean begun, boolean ended) {
        private static final Step NONE = new Step(List.of(), false, false);

        private static Step probing(List<String> upstreams) {
            return new Step(upstreams, false, false);
        }
    }

    /**
     * The inputs of the decision.
     *
     * @param unreachable number of upstreams to which no connection could be opened lately
     * @param contactAgeMillis time since this node had contact with an upstream, -1 if it never had
     * @param othersContactAgeMillis time since another node had contact, as far as this node knows, -1 if unknown
     * @param failingMillis time since the first of the failures that count, -1 without one
     */
    public record Evidence(int unreachable, long contactAgeMillis, long othersContactAgeMillis, long failingMillis) {}

    /**
     * Returns whether the node is cut off. May be called by any thread.
     *
     * @return true if its requests should be passed to other nodes
     */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns whether connections that were opened before still bring data.
     *
     * @param nowMillis the time in milliseconds
     * @return true if an upstream has sent something lately
     */
    public boolean hasContact(long nowMillis) {
        return nowMillis - contactMillis < SILENT_MILLIS;
    }

    /**
     * Returns the inputs of the decision, for the log.
     *
     * @param nowMillis the time in milliseconds
     * @return the inputs
     */
    public Evidence evidence(long nowMillis) {
        return new Evidence(
                failures.size(),
                ageMillis(contactMillis, nowMillis),
                ageMillis(newestReport(source -> true), nowMillis),
                ageMillis(failingSinceMillis(), nowMillis));
    }

    private static long ageMillis(long sinceMillis, long nowMillis) {
        return sinceMillis == NEVER ? -1 : nowMillis - sinceMillis;
    }

    private long failingSinceMillis() {
        return failures.values().stream().mapToLong(Failures::firstMillis).min().orElse(NEVER);
    }

    /**
     * Records that data arrived from an upstream.
     *
     * @param nowMillis the time in milliseconds
     */
    public void onData(long nowMillis) {
        contactMillis = nowMillis;
    }

    /**
     * Records that a connection was opened.
     *
     * @param address the upstream's address
     * @param nowMillis the time in milliseconds
     */
    public void onConnected(String address, long nowMillis) {
        contactMillis = nowMillis;
        connectedMillis = nowMillis;
        probing.remove(address);
        if (cutOff) {
            failures.remove(address);
            reachedAtMillis.put(address, nowMillis);
        } else {
            failures.clear();
        }
    }

    /**
     * Records that a connection could not be opened.
     *
     * @param address the upstream's address
     * @param nowMillis the time in milliseconds
     */
    public void onConnectFailed(String address, long nowMillis) {
        probing.remove(address);
        reachedAtMillis.remove(address);
        failures.merge(
                address,
                new Failures(nowMillis, nowMillis),
                (earlier, last) -> new Failures(earlier.firstMillis(), last.lastMillis()));
    }

    /**
     * Records that a connection broke while a request was in progress on it.
     *
     * @param nowMillis the time in milliseconds
     */
    public void onBroken(long nowMillis) {
        brokenMillis = nowMillis;
    }

    /**
     * Records the report of another node.
     *
     * @param source origin of the digest
     * @param ageMillis what {@link #ageToReport} returned there
     * @param nowMillis the time in milliseconds
     */
    public void onReport(FleetLoads.Source source, long ageMillis, long nowMillis) {
        if (ageMillis == QUERY) {
            queriedMillis = nowMillis;
        } else {
            contactMillisBySource.merge(source, nowMillis - Math.max(0, ageMillis), Math::max);
        }
    }

    /**
     * Returns the time since this node, or some of those that have told it, had contact with an upstream.
     *
     * @param included the sources that count beside this node; not the receiver, which would take its own contact for that of
     *     another node
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds; {@link #QUERY} if this node reaches no upstream and knows of none that does; empty
     *     without a recent contact
     */
    public OptionalLong ageToReport(Predicate<FleetLoads.Source> included, long nowMillis) {
        long reportedMillis = newestReport(included);
        if (unconfirmed && reportedMillis == NEVER) {
            return OptionalLong.of(QUERY);
        }
        long newestMillis = cutOff ? reportedMillis : Math.max(contactMillis, reportedMillis);
        long ageMillis = nowMillis - newestMillis;
        return ageMillis < CONTACT_VALID_MILLIS ? OptionalLong.of(ageMillis) : OptionalLong.empty();
    }

    private long newestReport(Predicate<FleetLoads.Source> included) {
        return contactMillisBySource.entrySet().stream()
                .filter(told -> included.test(told.getKey()))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(NEVER);
    }

    /**
     * Decides anew. Called several times a second.
     *
     * @param serviceByUpstream addresses of the upstreams that accept requests, with their services
     * @param silentMillis time for which all upstreams with requests in flight have been silent, zero without any
     * @param nowMillis the time in milliseconds
     * @return what has changed, and the upstreams to probe
     */
    public Step step(Map<String, String> serviceByUpstream, long silentMillis, long nowMillis) {
        Set<String> upstreams = serviceByUpstream.keySet();
        forget(upstreams, nowMillis);
        unconfirmed = false;
        if (cutOff) {
            return stepWhileCutOff(upstreams, nowMillis);
        }
        int wanted = unreachableToCheck(upstreams.size(), silentMillis, nowMillis);
        if (wanted == 0) {
            return Step.probing(isQueryOpen(nowMillis) ? probeRepeatedly(upstreams, nowMillis) : List.of());
        }
        if (failures.size() < wanted) {
            int missing = wanted - failures.size() - probing.size();
            return Step.probing(probe(upstreams, address -> !failures.containsKey(address), missing, nowMillis));
        }
        if (failures.size() < Math.min(MAX_PROBED, upstreams.size())) {
            // The silence has led to the first failures; the next step probes the others.
            return Step.NONE;
        }
        Set<String> untried = new HashSet<>(serviceByUpstream.values());
        failures.keySet().forEach(address -> untried.remove(serviceByUpstream.get(address)));
        if (!untried.isEmpty()) {
            // All upstreams of the other services may be down, which is no cut.
            int missing = untried.size() - probing.size();
            return Step.probing(
                    probe(upstreams, address -> untried.contains(serviceByUpstream.get(address)), missing, nowMillis));
        }
        if (othersHadContactSinceTheFailures(nowMillis)) {
            cutOff = true;
            reachedAtMillis.clear();
            return new Step(List.of(), true, false);
        }
        unconfirmed = true;
        return Step.probing(probeRepeatedly(upstreams, nowMillis));
    }

    private boolean isQueryOpen(long nowMillis) {
        return nowMillis - queriedMillis < QUERY_MILLIS && nowMillis - contactMillis >= QUERY_MILLIS;
    }

    private Step stepWhileCutOff(Set<String> upstreams, long nowMillis) {
        boolean reachedForLong =
                reachedAtMillis.values().stream().anyMatch(millis -> nowMillis - millis >= REACHED_TO_END_MILLIS);
        if (reachedForLong || reachedAtMillis.size() >= Math.min(PROBES_TO_END, upstreams.size())) {
            cutOff = false;
            failures.clear();
            return new Step(List.of(), false, true);
        }
        return Step.probing(probeRepeatedly(upstreams, nowMillis));
    }

    /** Returns how many upstreams should be found unreachable or be probed, zero if nothing is suspicious. */
    private int unreachableToCheck(int upstreams, long silentMillis, long nowMillis) {
        int suspicious = Math.min(SUSPICIOUS_FAILURES, upstreams);
        if (failures.size() >= suspicious) {
            return Math.min(MAX_PROBED, upstreams);
        }
        boolean silent = silentMillis >= SILENT_MILLIS && nowMillis - connectedMillis >= SILENCE_EXCUSED_MILLIS;
        boolean failed = !failures.isEmpty() || brokenMillis >= contactMillis && brokenMillis != NEVER;
        boolean quiet = nowMillis - contactMillis >= QUIET_MILLIS;
        return silent || failed && quiet ? suspicious : 0;
    }

    private boolean othersHadContactSinceTheFailures(long nowMillis) {
        long reportedMillis = newestReport(source -> true);
        return nowMillis - reportedMillis < CONTACT_VALID_MILLIS
                && reportedMillis - failingSinceMillis() >= CONTACT_MARGIN_MILLIS;
    }

    private void forget(Collection<String> upstreams, long nowMillis) {
        Set<String> known = new HashSet<>(upstreams);
        failures.keySet().retainAll(known);
        reachedAtMillis.keySet().retainAll(known);
        probedAtMillis.keySet().retainAll(known);
        probing.retainAll(known);
        contactMillisBySource.values().removeIf(millis -> nowMillis - millis >= CONTACT_VALID_MILLIS);
        reachedAtMillis.values().removeIf(millis -> nowMillis - millis >= PROBE_VALID_MILLIS);
        if (!cutOff) {
            failures.values().removeIf(failed -> nowMillis - failed.lastMillis() >= PROBE_VALID_MILLIS);
        }
    }

    private List<String> probeRepeatedly(Collection<String> upstreams, long nowMillis) {
        // The first success is confirmed soon.
        long intervalMillis =
                reachedAtMillis.isEmpty() ? REPEATED_PROBE_INTERVAL_MILLIS : REPEATED_PROBE_INTERVAL_MILLIS / 5;
        return nowMillis - lastProbeMillis < intervalMillis
                ? List.of()
                : probe(upstreams, address -> !reachedAtMillis.containsKey(address), 1, nowMillis);
    }

    /** Takes the upstreams that have not been probed for longest. */
    private List<String> probe(Collection<String> upstreams, Predicate<String> useful, int count, long nowMillis) {
        List<String> next = upstreams.stream()
                .filter(address -> !probing.contains(address))
                .filter(useful)
                .sorted(Comparator.comparingLong((String address) -> probedAtMillis.getOrDefault(address, NEVER))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(Math.max(0, count))
                .toList();
        next.forEach(address -> probedAtMillis.put(address, nowMillis));
        probing.addAll(next);
        lastProbeMillis = next.isEmpty() ? lastProbeMillis : nowMillis;
        return next;
    }
}
