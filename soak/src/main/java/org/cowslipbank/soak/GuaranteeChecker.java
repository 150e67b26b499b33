package org.cowslipbank.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInUpstream.Order;
import org.cowslipbank.platform.StandInUpstream.Run;

/**
 * Records the events that clients, upstreams and the soak test report, and checks that they violate no guarantee.
 * Thread-safe.
 *
 * <p>The guarantees: a non-idempotent request runs at most once and an idempotent one at most twice; a rejected
 * request has not run and never will; a success response is complete and belongs to the request; a stream delivers
 * each event once; requests reach upstreams with the team's name and without its key; a revoked key is refused
 * everywhere within a bound; no request reaches an upstream after its drain period; an engine receives no commands
 * from two nodes within one lease period, and no lower fencing token after a higher one.
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

    private final StandInFormats.Bounds bounds;
    private final long drainMillis;
    private final LongSupplier clock;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final Map<String, Long> sentAtMillis = new HashMap<>();
    private final Map<String, String> keyById = new HashMap<>();
    private final Map<String, String> rejected = new HashMap<>();
    private final Map<String, Long> revokedAtMillis = new HashMap<>();
    private final Map<String, Long> leavingSinceMillis = new HashMap<>();
    private final Map<String, Order> lastCommand = new HashMap<>();
    private final Map<String, Long> lastCommandAtMillis = new HashMap<>();
    private long lastFaultMillis;
    private long sent;
    private long served;
    private long rejectedCount;
    private long failed;

    /**
     * Creates a checker without recorded events.
     *
     * @param bounds the time bounds in the settings of the nodes
     * @param drainMillis time after which no request may reach a draining upstream, in milliseconds
     * @param clock supplies the current time in milliseconds
     */
    GuaranteeChecker(StandInFormats.Bounds bounds, long drainMillis, LongSupplier clock) {
        this.bounds = bounds;
        this.drainMillis = drainMillis;
        this.clock = clock;
    }

    /** Number of requests sent, and of those served, rejected and failed. */
    record Counts(long sent, long served, long rejected, long failed) {}

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
        Long leavingMillis = leavingSinceMillis.get(run.serverId());
        boolean faultFree = leavingMillis != null && lastFaultMillis < leavingMillis;
        check(
                !faultFree || nowMillis <= leavingMillis + drainMillis + TRANSIT_MILLIS,
                run.id() + " reached " + run.serverId() + " more than " + drainMillis + " ms after it began to leave");
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
        return new Counts(sent, served, rejectedCount, failed);
    }
}
