package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import org.cowslipbank.platform.StandInCacheStore.Fetch;
import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInUpstream.Answered;
import org.cowslipbank.platform.StandInUpstream.Order;
import org.cowslipbank.platform.StandInUpstream.Run;

/**
 * Records the events that clients, upstreams and the soak test report, and checks that they violate no guarantee.
 * Thread-safe.
 *
 * <p>The guarantees: a non-idempotent request runs at most once and an idempotent one at most twice; a rejected
 * request has not run and never will; a success response is complete and belongs to the request; a stream delivers
 * each event once; requests reach upstreams with the team's name and without its key; a revoked key is refused
 * everywhere within a bound, and a new one is no longer refused as unknown; no request reaches an upstream after its drain
 * period; an engine receives no commands from two nodes within one lease period, and no lower fencing token after a higher one.
 *
 * <p>No part that a request fetched from a cache store was freed before the fetch ended, or incomplete when it began. No answer
 * with an upstream's signature has another status than that upstream's answer, and a whole success is one that an upstream
 * counts as such. No request from a node in touch with the metadata store reaches an upstream of an evacuated data centre after a
 * bound.
 *
 * <p>Without faults also: a request that was read whole is answered whole, or refused; none begins on a weight version past
 * the bound of a newer one; arrivals beyond the first of each request stay within the retry budget; no cached part is shared
 * with an isolated team.
 */
final class GuaranteeChecker {
    /** Runs of an idempotent request: the first attempt and one retry. */
    private static final int MAX_RUNS_IF_IDEMPOTENT = 2;

    /** Longest transit time of a request from a node to an upstream, in milliseconds. */
    private static final long TRANSIT_MILLIS = 200;

    /**
     * Engine commands that arrive within this time after a fault begins or ends are not checked: they may have been
     * sent before it.
     */
    private static final long FAULT_SETTLING_MILLIS = 300;

    /** Share and number of the repeats that the platform's rules allow, and the window in which they count. */
    private static final double REPEAT_SHARE = 0.2;

    private static final int REPEAT_SLACK = 50;
    private static final long REPEAT_WINDOW_MILLIS = 10_000;

    /** Time after a planned stop in which a request that the node has not read may get no answer. */
    private static final long STOP_MILLIS = 10_000;

    /** Time after which a configuration is in force everywhere, from the platform's rules. */
    private static final long CONFIGURATION_MILLIS = 2_000;

    private static final int SUCCESS = 200;
    static final Set<Integer> UNKNOWN_KEY_OR_ROUTE = Set.of(401, 403, 404);

    private final StandInFormats.Bounds bounds;
    private final long drainMillis;
    private final long applyMillis;
    private final boolean calm;
    private final Map<Long, Long> namedAtMillis = new HashMap<>();
    private final Map<String, List<Long>> arrivals = new HashMap<>();
    private final Map<String, List<Long>> repeats = new HashMap<>();
    private final Set<String> arrived = new HashSet<>();
    private final Map<String, Set<String>> teamsByScope = new HashMap<>();
    private String isolatedTeam = "";
    private long isolatedAtMillis;
    private long plannedStopMillis;
    private int shortestTimeoutMillis = Integer.MAX_VALUE;
    private final LongSupplier clock;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final Map<String, Long> sentAtMillis = new HashMap<>();
    private final Map<String, String> keyById = new HashMap<>();
    private final Map<String, String> rejected = new HashMap<>();
    private final Map<String, Answered> answers = new HashMap<>();
    private final Set<String> answeredWithSuccess = new HashSet<>();
    private final Map<String, Long> grantedAtMillis = new HashMap<>();
    private final Map<String, Long> revokedAtMillis = new HashMap<>();
    private final Map<String, Long> leavingSinceMillis = new HashMap<>();
    private final Map<String, String> nodeById = new HashMap<>();
    private final Map<String, Long> evacuatedAtMillis = new HashMap<>();
    private final Map<String, Long> disturbedAtMillis = new HashMap<>();
    private final Map<String, Order> lastCommand = new HashMap<>();
    private final Map<String, Long> lastCommandAtMillis = new HashMap<>();
    private long lastFaultMillis;
    private long sent;
    private long served;
    private long rejectedCount;
    private long failed;
    private long fetches;
    private long secondAnswers;
    private long besideEvacuations;

    /**
     * Creates a checker without recorded events.
     *
     * @param bounds the time bounds in the settings of the nodes
     * @param drainMillis time after which no request may reach a draining upstream, in milliseconds
     * @param applyMillis time after which a configuration is in force at nodes in touch with the metadata store, in milliseconds
     * @param calm true if there are no faults, so that more is guaranteed
     * @param clock supplies the current time in milliseconds
     */
    GuaranteeChecker(
            StandInFormats.Bounds bounds, long drainMillis, long applyMillis, boolean calm, LongSupplier clock) {
        this.bounds = bounds;
        this.calm = calm;
        this.drainMillis = drainMillis;
        this.applyMillis = applyMillis;
        this.clock = clock;
    }

    /**
     * Number of requests sent, of those served, rejected and failed, of parts fetched from stores, of second answers sent, and of
     * arrivals at any upstream that would have been violations if its data centre had been the evacuated one.
     */
    record Counts(
            long sent,
            long served,
            long rejected,
            long failed,
            long fetches,
            long secondAnswers,
            long besideEvacuations) {}

    synchronized void onFault() {
        lastFaultMillis = clock.getAsLong();
    }

    synchronized String onSent(String path, String team, String key) {
        String id = team + "-" + Long.toHexString(ThreadLocalRandom.current().nextLong());
        sentAtMillis.put(id, clock.getAsLong());
        keyById.put(id, key);
        sent++;
        return id;
    }

    /** Records that the metadata store acknowledged a configuration with a key. */
    synchronized void onGranted(String key) {
        grantedAtMillis.putIfAbsent(key, clock.getAsLong());
    }

    /** Records that a configuration without a key is about to be written. */
    synchronized void onRevoking(String key) {
        grantedAtMillis.remove(key);
    }

    synchronized void onRevoked(String key) {
        revokedAtMillis.put(key, clock.getAsLong());
    }

    synchronized void onLeaving(String serverId) {
        leavingSinceMillis.put(serverId, clock.getAsLong());
    }

    synchronized void onRun(Run run) {
        long nowMillis = clock.getAsLong();
        List<Run> previous = runs.computeIfAbsent(run.id(), key -> new ArrayList<>());
        previous.add(run);
        int maxRuns = run.path().startsWith(StandInFormats.ORDER_PATH) ? 1 : MAX_RUNS_IF_IDEMPOTENT;
        check(previous.size() <= maxRuns, run.id() + " at " + run.path() + " ran " + previous.size() + " times");
        check(!rejected.containsKey(run.id()), run.id() + " ran after it was rejected: " + rejected.get(run.id()));
        check(
                !run.clientKeyForwarded(),
                run.id() + " reached an upstream with the client's key, which must be stripped");
        check(run.id().startsWith(run.team() + "-"), run.id() + " ran for team '" + run.team() + "'");
        Long sentMillis = sentAtMillis.get(run.id());
        Long revokedMillis = revokedAtMillis.get(keyById.get(run.id()));
        check(
                sentMillis == null || revokedMillis == null || sentMillis <= revokedMillis + bounds.revokeMillis(),
                run.id() + " ran with an API key that was revoked "
                        + (revokedMillis == null ? 0 : nowMillis - revokedMillis) + " ms earlier");
        if (!run.cacheScope().isEmpty()) {
            checkSharing(run, sentMillis);
        }
        Long leavingMillis = leavingSinceMillis.get(run.serverId());
        boolean faultFree = leavingMillis != null && lastFaultMillis < leavingMillis;
        check(
                !faultFree || nowMillis <= leavingMillis + drainMillis + TRANSIT_MILLIS,
                run.id() + " reached " + run.serverId() + " more than " + drainMillis + " ms after it began to leave");
    }

    /** Records the node that a client sends a request to. Nodes pass requests on only while they are cut off. */
    synchronized void onSentTo(String id, String node) {
        nodeById.put(id, node);
    }

    /** Records that a data centre was evacuated, after the metadata store acknowledged it. */
    synchronized void onEvacuated(String dataCentre) {
        evacuatedAtMillis.put(dataCentre, clock.getAsLong());
    }

    /** Records the end of an evacuation, before it is written to the metadata store. */
    synchronized void onEvacuationEnds(String dataCentre) {
        evacuatedAtMillis.remove(dataCentre);
    }

    /** Records that a node starts or is out of touch with the metadata store, or that the way to an upstream is disturbed. */
    synchronized void onDisturbed(String nodeOrServer) {
        disturbedAtMillis.put(nodeOrServer, clock.getAsLong());
    }

    synchronized boolean isDisturbed(String nodeOrServer) {
        return clock.getAsLong() - disturbedAtMillis.getOrDefault(nodeOrServer, 0L) < SoakPlatform.CONTACT_MILLIS;
    }

    /** Checks a request that reached an upstream of a data centre, where it may still be rejected. */
    synchronized void onReached(String id, String serverId, String dataCentre) {
        String node = nodeById.get(id);
        if (evacuatedAtMillis.isEmpty() || node == null || isDisturbed(node) || isDisturbed(serverId)) {
            return;
        }
        evacuatedAtMillis.forEach((evacuated, sinceMillis) -> {
            long passedMillis = clock.getAsLong() - sinceMillis;
            if (passedMillis <= bounds.evacuateMillis()) {
                return;
            }
            besideEvacuations++;
            check(
                    !evacuated.equals(dataCentre),
                    id + ", sent to " + node + ", reached " + serverId + " whose data centre " + dataCentre
                            + " was evacuated " + passedMillis + " ms earlier");
        });
    }

    /** Checks a command that an engine received. */
    synchronized void onOrder(Order command) {
        long nowMillis = clock.getAsLong();
        Order previous = lastCommand.put(command.serverId(), command);
        Long previousMillis = lastCommandAtMillis.put(command.serverId(), nowMillis);
        if (previous == null || nowMillis - lastFaultMillis <= FAULT_SETTLING_MILLIS) {
            return;
        }
        boolean alternating =
                !previous.holder().equals(command.holder()) && nowMillis - previousMillis < bounds.leaseMillis();
        check(
                !alternating,
                "orders from two nodes, " + previous + " and " + command + ", within " + (nowMillis - previousMillis)
                        + " ms");
        check(
                command.fencingToken() >= previous.fencingToken(),
                "lower fencing token in " + command + " after " + previous);
    }

    /** Records the only team that is isolated from now on, empty if none is. */
    synchronized void onIsolated(String team) {
        if (!team.equals(isolatedTeam)) {
            isolatedTeam = team;
            isolatedAtMillis = clock.getAsLong();
        }
    }

    private void checkSharing(Run run, Long sentMillis) {
        Set<String> teams = teamsByScope.computeIfAbsent(run.cacheScope(), key -> new HashSet<>());
        teams.add(run.team());
        boolean inForce = sentMillis != null && sentMillis > isolatedAtMillis + CONFIGURATION_MILLIS;
        check(
                !calm || !inForce || teams.size() == 1 || !teams.contains(isolatedTeam),
                run.id() + " shares cached parts with an isolated team, teams " + teams + ", isolated " + isolatedTeam);
    }

    synchronized void onPlannedStop() {
        plannedStopMillis = clock.getAsLong();
    }

    synchronized void onVersionNamed(long version) {
        namedAtMillis.put(version, clock.getAsLong());
    }

    /** Checks that a stream begins on weights that have not been replaced for too long. */
    synchronized void onBegun(Run run, long version) {
        long nowMillis = clock.getAsLong();
        long oldestMillis = namedAtMillis.entrySet().stream()
                .filter(named -> named.getKey() > version)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(nowMillis);
        check(
                !calm || nowMillis - oldestMillis <= bounds.versionMillis(),
                run.id() + " began on version " + version + " at " + run.serverId() + ", " + (nowMillis - oldestMillis)
                        + " ms after a newer one was named");
    }

    synchronized void onArrival(String service, String id) {
        long nowMillis = clock.getAsLong();
        Map<String, List<Long>> kind = arrived.add(id) ? arrivals : repeats;
        kind.computeIfAbsent(service, key -> new ArrayList<>()).add(nowMillis);
    }

    /** Checks the arrivals beyond the first of each request, in the windows that end with one. */
    synchronized void checkRetryBudget() {
        repeats.forEach((service, millis) -> {
            for (long endMillis : millis) {
                long count = countIn(millis, endMillis);
                List<Long> first = arrivals.getOrDefault(service, List.of());
                long requests = Math.max(
                        countIn(first, endMillis),
                        Math.max(
                                countIn(first, endMillis - REPEAT_WINDOW_MILLIS),
                                countIn(first, endMillis - REPEAT_WINDOW_MILLIS / 2)));
                if (calm && count > requests * REPEAT_SHARE + REPEAT_SLACK) {
                    check(
                            false,
                            service + " got " + count + " repeats of " + requests + " requests until " + endMillis);
                    return;
                }
            }
        });
    }

    private static long countIn(List<Long> millis, long endMillis) {
        return millis.stream()
                .filter(at -> at > endMillis - REPEAT_WINDOW_MILLIS && at <= endMillis)
                .count();
    }

    /** Records the shortest time-out that requests may have from now on, also those sent a little before. */
    synchronized void onTimeout(int timeoutMillis) {
        shortestTimeoutMillis = Math.min(shortestTimeoutMillis, timeoutMillis);
    }

    /** Checks a request that was written whole and got no whole answer, before its time-out was reached. */
    synchronized void onUnanswered(String id, boolean keptConnection, String detail) {
        if (clock.getAsLong() - sentAtMillis.getOrDefault(id, 0L) >= shortestTimeoutMillis) {
            return;
        }
        boolean ran = runs.containsKey(id);
        boolean stopping = clock.getAsLong() - plannedStopMillis < STOP_MILLIS;
        // A request that crosses the close of a kept connection, or of a node that ends, may be unread.
        boolean mayBeUnread = !ran && (keptConnection || stopping);
        check(!calm || mayBeUnread, id + " got no whole answer, ran: " + ran + ", " + detail);
    }

    /** Records an upstream's answer, before its last bytes are sent. */
    synchronized void onAnswered(Answered answered) {
        answers.put(answered.signature(), answered);
        if (answered.countedStatus() == SUCCESS) {
            answeredWithSuccess.add(answered.requestId());
        }
    }

    /**
     * Checks an answer that a client got, whole or not: where it bears the signature of a run, it has the status that the
     * upstream sent for it. Runs whose stream goes on are not settled yet; their head was a success.
     */
    synchronized void onHead(String id, int status, String signature) {
        Answered answered = answers.get(signature);
        int upstreamStatus = answered == null ? SUCCESS : answered.headStatus();
        check(
                signature.isEmpty() || status == upstreamStatus,
                id + " got status " + status + " where the upstream answered " + upstreamStatus + ", " + answered);
        if (signature.isEmpty() && UNKNOWN_KEY_OR_ROUTE.contains(status)) {
            checkUnknown(id, status);
        }
    }

    /** Checks a refusal by a node; one that is behind for longer than the bound must refuse as not run instead. */
    private void checkUnknown(String id, int status) {
        String node = nodeById.get(id);
        boolean inTouch = node != null && !isDisturbed(node);
        long boundMillis = inTouch ? Math.min(applyMillis, bounds.revokeMillis()) : bounds.revokeMillis();
        Long grantedMillis = grantedAtMillis.get(keyById.get(id));
        check(
                grantedMillis == null || sentAtMillis.get(id) <= grantedMillis + boundMillis,
                id + " got status " + status + " from " + node + ", "
                        + (grantedMillis == null ? 0 : sentAtMillis.get(id) - grantedMillis)
                        + " ms after a configuration with its route and key was acknowledged");
    }

    /**
     * Checks a whole success: a run of the request ended with success at an upstream. A stream that fails after its head may be
     * completed by a later run, and keeps the signature of the first.
     */
    synchronized void onWholeSuccess(String id, String signature) {
        check(
                answeredWithSuccess.contains(id),
                id + " got a whole success, but no upstream counts one: " + answers.get(signature) + ", runs "
                        + runs.get(id));
    }

    synchronized void onSecondAnswer() {
        secondAnswers++;
    }

    /** Checks a fetch from a cache store; what a discarded one read was not used. */
    synchronized void onFetched(Fetch fetch) {
        fetches++;
        check(
                fetch.discarded() || fetch.freed().isEmpty(),
                fetch.requestId() + " fetched a part that was freed meanwhile: " + fetch);
        check(
                fetch.discarded() || fetch.complete(),
                fetch.requestId() + " fetched a part that was incomplete: " + fetch);
    }

    synchronized void onServed(String id, boolean complete, String detail) {
        served++;
        check(complete, id + " got a success response that is incomplete or belongs to another request: " + detail);
    }

    synchronized void onRejected(String id, String status) {
        rejectedCount++;
        rejected.put(id, status);
        check(!runs.containsKey(id), id + " was rejected with " + status + " although it had run");
    }

    synchronized void onFailed() {
        failed++;
    }

    synchronized void onUnexpectedExit(String node) {
        check(false, node + " exited while the soak was not terminating it");
    }

    synchronized void check(boolean condition, String violation) {
        if (!condition) {
            violations.add(clock.getAsLong() + " " + violation);
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized Counts counts() {
        return new Counts(sent, served, rejectedCount, failed, fetches, secondAnswers, besideEvacuations);
    }
}
