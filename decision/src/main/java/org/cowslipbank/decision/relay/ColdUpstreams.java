package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.cowslipbank.model.relay.ColdLimit;

/**
 * Keeps the requests of all nodes to an upstream that has just started within the rate that it can handle.
 *
 * <p>Load pattern: the upstreams of a data centre come back together, are empty, and are chosen by every node at once. Each
 * node has an equal share of an upstream's rate, as with {@link UpstreamLimits}, and needs nothing but the number of nodes
 * for it ({@link SendingNodes}). The send permits of the nodes are spread evenly over the interval from the moment at which
 * the upstream becomes cold, and lapse soon, because the bound holds in each second. What the metadata store tells comes
 * from {@link ColdPeriods}. Besides, an upstream to which this node has lost all connections may have restarted, and is cold
 * from the next connection on. Confined to the traffic thread, except {@link #coldCount} and {@link #sends}.
 */
public final class ColdUpstreams {
    /**
     * Time for which a permit that is not used is kept; a waiting request is tried again each 20 ms. A fleet that uses all
     * that it kept at once sends a fifth of the rate of a second more, which the reserve of half the rate covers.
     */
    static final long UNUSED_VALID_MILLIS = 200;

    /** Time after which connections that are open still tell that the upstream outlived the break of another one. */
    static final long BREAKS_TOGETHER_MILLIS = 300;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double HASH_RANGE = 1L << 32;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, Upstream> upstreamByAddress = new HashMap<>();
    private final SendingNodes nodes = new SendingNodes();
    private Known applied = Known.NONE;
    private boolean anyBroken;
    private volatile int coldCount;
    private volatile long sends;

    /**
     * What the metadata store tells of the upstreams of services that have a limit for cold ones.
     *
     * @param periodByIncarnation the upstreams, also those that are not cold
     */
    public record Known(Map<String, Period> periodByIncarnation) {
        /** No service has a limit. */
        public static final Known NONE = new Known(Map.of());

        /** Makes an unmodifiable copy of the map; null keys and values are rejected with NullPointerException. */
        public Known {
            periodByIncarnation = Map.copyOf(periodByIncarnation);
        }
    }

    /**
     * Until when an upstream is cold.
     *
     * @param address its address as {@code IP:port}
     * @param limit the limit of its service
     * @param untilMillis the time in milliseconds, in the past if it is not cold
     */
    public record Period(String address, ColdLimit limit, long untilMillis) {}

    /**
     * An upstream that has become cold, or has ceased to be.
     *
     * @param incarnation the upstream's incarnation
     * @param leftMillis how long it stays cold, in milliseconds, zero if it has ended
     * @param afterLostContact true if it is cold because this node had lost its connections to it
     */
    public record Change(String incarnation, long leftMillis, boolean afterLostContact) {}

    private static final class Upstream {
        private final String incarnation;
        private final SendPermits permits = new SendPermits(UNUSED_VALID_MILLIS);
        private Period period;
        private long toldMillis = NEVER;
        private long contactUntilMillis = NEVER;
        private long brokenMillis = NEVER;
        private boolean refused;
        private boolean reportedCold;

        Upstream(String incarnation, Period period) {
            this.incarnation = incarnation;
            this.period = period;
        }

        private boolean isCold(long nowMillis) {
            return nowMillis < untilMillis();
        }

        private long untilMillis() {
            return Math.max(toldMillis, contactUntilMillis);
        }
    }

    /**
     * Sets the nodes that share the rates. Has to be called from time to time, because sets of nodes count for some time.
     *
     * @param names the registered nodes that may send
     * @param self this node's name
     * @param nowMillis the time in milliseconds
     */
    public void setNodes(Set<String> names, String self, long nowMillis) {
        if (nodes.onNodes(names, self, nowMillis)) {
            upstreams.values().forEach(upstream -> beginPermits(upstream, nowMillis));
        }
    }

    private void beginPermits(Upstream upstream, long nowMillis) {
        double place =
                (Integer.toUnsignedLong(FleetLoads.shortHash(upstream.incarnation)) / HASH_RANGE + nodes.phase()) % 1;
        upstream.permits.beginAt(
                Math.max(nowMillis, nodes.settledAtMillis()) + place * intervalMillis(upstream.period.limit()));
    }

    private double intervalMillis(ColdLimit limit) {
        return MILLIS_PER_SECOND * Math.max(1, nodes.count()) / limit.requestsPerSecond();
    }

    /**
     * Takes over what the metadata store tells, if it differs from the last call. Has to be called before each choice, so
     * that no request is sent to an upstream that is not known here to be cold.
     *
     * @param known what the store tells
     * @param nowMillis the time in milliseconds
     */
    public void apply(Known known, long nowMillis) {
        if (known == applied) {
            return;
        }
        applied = known;
        upstreams.keySet().retainAll(known.periodByIncarnation().keySet());
        upstreamByAddress.clear();
        known.periodByIncarnation().forEach((incarnation, period) -> {
            Upstream upstream = upstreams.computeIfAbsent(incarnation, added -> new Upstream(added, period));
            upstreamByAddress.put(period.address(), upstream);
            upstream.period = period;
            boolean wasCold = upstream.isCold(nowMillis);
            upstream.toldMillis = period.untilMillis();
            if (!wasCold && upstream.isCold(nowMillis)) {
                beginPermits(upstream, nowMillis);
            }
        });
    }

    /**
     * Returns whether an upstream is cold.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return true if requests to it need a permit
     */
    public boolean isCold(String incarnation, long nowMillis) {
        return cold(incarnation, nowMillis) != null;
    }

    private Upstream cold(String incarnation, long nowMillis) {
        Upstream upstream = upstreams.isEmpty() ? null : upstreams.get(incarnation);
        return upstream == null || !upstream.isCold(nowMillis) ? null : upstream;
    }

    /**
     * Returns whether this node may send a request now.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return false while the upstream is cold and this node has no permit
     */
    public boolean maySend(String incarnation, long nowMillis) {
        Upstream upstream = cold(incarnation, nowMillis);
        return upstream == null || hasPermit(upstream, nowMillis);
    }

    private boolean hasPermit(Upstream upstream, long nowMillis) {
        return nodes.count() > 0 && upstream.permits.isFree(intervalMillis(upstream.period.limit()), nowMillis);
    }

    /**
     * Records that this node sends a request.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     */
    public void onSent(String incarnation, long nowMillis) {
        Upstream upstream = cold(incarnation, nowMillis);
        if (upstream != null) {
            take(upstream, nowMillis);
        }
    }

    // Written by the traffic thread alone.
    @SuppressWarnings("NonAtomicOperationOnVolatileField")
    private void take(Upstream upstream, long nowMillis) {
        upstream.permits.take(intervalMillis(upstream.period.limit()), nowMillis);
        sends++;
    }

    /**
     * Takes a permit for a request that was placed when the upstream was not cold, or not known to be.
     *
     * @param incarnation the upstream's incarnation
     * @param nowMillis the time in milliseconds
     * @return false if the upstream is cold now and no permit is free
     */
    public boolean takeIfCold(String incarnation, long nowMillis) {
        Upstream upstream = cold(incarnation, nowMillis);
        if (upstream == null) {
            return true;
        }
        if (!hasPermit(upstream, nowMillis)) {
            return false;
        }
        take(upstream, nowMillis);
        return true;
    }

    /**
     * Records that a connection broke with a request in progress, or was reset. One lost answer breaks one connection, and a
     * restart all of them: whether others go on shows in their bytes, or when they are open some time later.
     *
     * @param address the upstream as {@code IP:port}
     * @param nowMillis the time in milliseconds
     */
    public void onBroken(String address, long nowMillis) {
        Upstream upstream = upstreamByAddress.get(address);
        if (upstream != null) {
            upstream.brokenMillis = nowMillis;
            anyBroken = true;
        }
    }

    /**
     * Records bytes of an upstream. Without a new connection since a break they are those of an earlier one, which goes on.
     *
     * @param incarnation the upstream's incarnation
     */
    public void onBytesReceived(String incarnation) {
        Upstream upstream = anyBroken ? upstreams.get(incarnation) : null;
        if (upstream != null) {
            upstream.brokenMillis = NEVER;
        }
    }

    /**
     * Takes upstreams for sound whose other connections have outlived a break. Has to be called from time to time.
     *
     * @param openConnections returns the number of open connections to an address
     * @param nowMillis the time in milliseconds
     */
    public void settleBreaks(ToIntFunction<String> openConnections, long nowMillis) {
        if (!anyBroken) {
            return;
        }
        anyBroken = false;
        for (Upstream upstream : upstreams.values()) {
            boolean due = nowMillis - upstream.brokenMillis >= BREAKS_TOGETHER_MILLIS;
            if (due && openConnections.applyAsInt(upstream.period.address()) > 0) {
                upstream.brokenMillis = NEVER;
            }
            anyBroken |= upstream.brokenMillis != NEVER;
        }
    }

    /**
     * Records that a connection could not be opened.
     *
     * @param address the upstream as {@code IP:port}
     */
    public void onConnectFailed(String address) {
        Upstream upstream = upstreamByAddress.get(address);
        if (upstream != null) {
            upstream.refused = true;
        }
    }

    /**
     * Records that a connection was opened. If all others are gone since the last time, the upstream may have restarted.
     *
     * @param address the upstream as {@code IP:port}
     * @param otherConnections connections to it that were opened before and are open still
     * @param nowMillis the time in milliseconds
     */
    public void onConnected(String address, int otherConnections, long nowMillis) {
        Upstream upstream = upstreamByAddress.get(address);
        if (upstream == null) {
            return;
        }
        boolean lost = upstream.refused || upstream.brokenMillis != NEVER && otherConnections == 0;
        upstream.brokenMillis = NEVER;
        upstream.refused = false;
        if (!lost) {
            return;
        }
        if (!upstream.isCold(nowMillis)) {
            beginPermits(upstream, nowMillis);
        }
        upstream.contactUntilMillis = nowMillis + upstream.period.limit().coldMillis();
    }

    /**
     * Returns which upstreams have become cold or have ceased to be since the last call, for the log.
     *
     * @param nowMillis the time in milliseconds
     * @return the changes
     */
    public List<Change> takeChanges(long nowMillis) {
        int cold = 0;
        List<Change> changes = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            boolean isCold = upstream.isCold(nowMillis);
            cold += isCold ? 1 : 0;
            if (isCold != upstream.reportedCold) {
                upstream.reportedCold = isCold;
                changes.add(new Change(
                        upstream.incarnation,
                        Math.max(0, upstream.untilMillis() - nowMillis),
                        isCold && upstream.contactUntilMillis > upstream.toldMillis));
            }
        }
        coldCount = cold;
        return changes;
    }

    /**
     * Returns the number of nodes that share the rates.
     *
     * @return the number, zero before any is known
     */
    public int nodeCount() {
        return nodes.count();
    }

    /**
     * Returns how many upstreams are cold, as of the last call of {@link #takeChanges}. May be called by any thread.
     *
     * @return the number
     */
    public int coldCount() {
        return coldCount;
    }

    /**
     * Returns how many requests were sent to cold upstreams. May be called by any thread.
     *
     * @return the number
     */
    public long sends() {
        return sends;
    }
}
