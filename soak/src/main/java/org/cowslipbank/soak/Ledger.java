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
 * Checks the promises to clients and upstreams from what these see. Thread-safe.
 *
 * <p>The promises: an order runs once at most and a repeatable request on two upstreams at most; a rejected request has
 * not run and never will; a success is whole and the request's own; a stream has each event once; a team's requests bear
 * its name and not its key; a revoked key ends everywhere in time; nothing reaches an upstream that left long ago;
 * engines get no orders from two nodes within a lease time, nor older fencing tokens after newer ones.
 */
final class Ledger {
    /** Requests that upstreams run on two servers at most. */
    private static final int MAX_RUNS = 2;

    /** Time that a request may be on its way between the node and an upstream, in milliseconds. */
    private static final long TRANSIT_MILLIS = 200;

    /** Orders that arrive this soon after a fault ended were sent before it. */
    private static final long THAW_MILLIS = 300;

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
    private final Map<String, Order> lastOrder = new HashMap<>();
    private final Map<String, Long> lastOrderAtMillis = new HashMap<>();
    private long lastFaultMillis;
    private long asked;
    private long served;
    private long refused;
    private long failed;

    /**
     * Creates a ledger.
     *
     * @param bounds the bounds that nodes are told
     * @param drainMillis time after which nothing may reach an upstream that leaves, in milliseconds
     * @param clock the time in milliseconds
     */
    Ledger(StandInFormats.Bounds bounds, long drainMillis, LongSupplier clock) {
        this.bounds = bounds;
        this.drainMillis = drainMillis;
        this.clock = clock;
    }

    /** Counts of a soak. */
    record Counts(long asked, long served, long refused, long failed) {}

    synchronized void onFault() {
        lastFaultMillis = clock.getAsLong();
    }

    synchronized String onSent(String path, String team, String key) {
        String id = team + "-" + Long.toHexString(ThreadLocalRandom.current().nextLong());
        sentAtMillis.put(id, clock.getAsLong());
        keyById.put(id, key);
        asked++;
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
        List<Run> before = runs.computeIfAbsent(run.id(), key -> new ArrayList<>());
        before.add(run);
        int most = run.path().startsWith(StandInFormats.ORDER_PATH) ? 1 : MAX_RUNS;
        check(before.size() <= most, run.id() + " at " + run.path() + " ran " + before.size() + " times");
        check(!rejected.containsKey(run.id()), run.id() + " ran after it was rejected: " + rejected.get(run.id()));
        check(!run.keyPassedOn(), run.id() + " reached an upstream with the client's key");
        check(run.id().startsWith(run.team() + "-"), run.id() + " ran for team '" + run.team() + "'");
        Long sentMillis = sentAtMillis.get(run.id());
        Long revokedMillis = revokedAtMillis.get(keyById.get(run.id()));
        check(
                sentMillis == null || revokedMillis == null || sentMillis <= revokedMillis + bounds.revokeMillis(),
                run.id() + " ran with a key that was revoked " + (revokedMillis == null ? 0 : nowMillis - revokedMillis)
                        + " ms before");
        Long leavingMillis = leavingSinceMillis.get(run.serverId());
        boolean calm = leavingMillis != null && lastFaultMillis < leavingMillis;
        check(
                !calm || nowMillis <= leavingMillis + drainMillis + TRANSIT_MILLIS,
                run.id() + " reached " + run.serverId() + " long after it began to leave");
    }

    synchronized void onOrder(Order order) {
        long nowMillis = clock.getAsLong();
        Order before = lastOrder.put(order.serverId(), order);
        Long beforeMillis = lastOrderAtMillis.put(order.serverId(), nowMillis);
        if (before == null || nowMillis - lastFaultMillis <= THAW_MILLIS) {
            return;
        }
        boolean turns = !before.holder().equals(order.holder()) && nowMillis - beforeMillis < bounds.leaseMillis();
        check(!turns, "orders of " + before + " and " + order + " within " + (nowMillis - beforeMillis) + " ms");
        check(order.fencingToken() >= before.fencingToken(), "fencing token of " + order + " after " + before);
    }

    synchronized void onServed(String id, boolean whole, String detail) {
        served++;
        check(whole, id + " has a success that is not whole or not its own: " + detail);
    }

    synchronized void onRejected(String id, String status) {
        refused++;
        rejected.put(id, status);
        check(!runs.containsKey(id), id + " was rejected with " + status + " although it had run");
    }

    synchronized void onFailed() {
        failed++;
    }

    synchronized void onEnded(String node) {
        check(false, node + " ended by itself");
    }

    synchronized void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(clock.getAsLong() + " " + violation);
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized Counts counts() {
        return new Counts(asked, served, refused, failed);
    }
}
