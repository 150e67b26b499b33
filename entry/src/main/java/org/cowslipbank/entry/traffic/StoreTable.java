package org.cowslipbank.entry.traffic;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.cowslipbank.config.StoreVm;
import org.cowslipbank.decision.routing.LinkEstimate;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.model.StoreId;

/** State of the link to each store: the measured rate, the bytes queued by this node, and whether the store answers. */
public final class StoreTable {
    private static final double DISK_RATE_SHARE_OF_LINK = 0.25;
    private static final double STORE_LATENCY_MILLIS = 2;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<StoreId, LinkStats> statsByStore = new ConcurrentHashMap<>();

    LinkState state(StoreVm store, long nowMillis) {
        return stats(store).estimate.state();
    }

    List<StoreLink> links(List<StoreVm> stores, long nowMillis) {
        return stores.stream().map(store -> link(store, nowMillis)).toList();
    }

    /**
     * Returns whether a store's link is in use.
     *
     * @param store the store
     * @return false from a timeout until the store delivers a block or answers a probe
     */
    public boolean isUp(StoreVm store) {
        return state(store, System.nanoTime() / 1_000_000) == LinkState.UP;
    }

    /**
     * Returns the measured rate of a store's link.
     *
     * @param store the store
     * @return the rate in bytes per second
     */
    public double bytesPerSecond(StoreVm store) {
        return stats(store).estimate.bytesPerSecond();
    }

    void recordReceived(StoreVm store, long bytes, double elapsedMillis) {
        LinkStats stats = stats(store);
        stats.lastBlockNanos = System.nanoTime();
        synchronized (stats) {
            stats.estimate = stats.estimate.withReceivedBlock(bytes, elapsedMillis, System.nanoTime() / 1_000_000);
        }
    }

    void recordTimeout(StoreVm store, long bytes, double elapsedMillis, long nowMillis) {
        LinkStats stats = stats(store);
        synchronized (stats) {
            stats.estimate = stats.estimate.withTimeout(bytes, elapsedMillis, nowMillis);
        }
    }

    boolean needsProbe(StoreVm store, long nowMillis) {
        return stats(store).estimate.needsProbe(nowMillis);
    }

    /**
     * Records that a store has answered a probe. A probe transfers no block, so a link that was down keeps its estimated
     * rate, and the estimate of a slow link moves towards the configured rate until a fetch measures it.
     */
    void recordProbeAnswer(StoreVm store, long nowMillis) {
        LinkStats stats = stats(store);
        synchronized (stats) {
            LinkEstimate old = stats.estimate;
            boolean down = old.state() == LinkState.DOWN;
            double rate = down ? old.bytesPerSecond() : store.linkBytesPerSecond();
            stats.estimate = old.withReceivedBlock(Math.max(1, (long) rate), MILLIS_PER_SECOND, nowMillis);
        }
    }

    double peakBytesPerSecond(StoreVm store) {
        return stats(store).estimate.peakBytesPerSecond();
    }

    long lastBlockNanos(StoreVm store) {
        return stats(store).lastBlockNanos;
    }

    void addQueued(StoreVm store, long bytes) {
        stats(store).queuedBytes.addAndGet(bytes);
    }

    private StoreLink link(StoreVm store, long nowMillis) {
        LinkStats stats = stats(store);
        LinkEstimate estimate = stats.estimate;
        return new StoreLink(
                store.id(),
                estimate.state(),
                store.linkBytesPerSecond(),
                estimate.bytesPerSecond(),
                estimate.bytesPerSecond() * DISK_RATE_SHARE_OF_LINK,
                Math.max(0, stats.queuedBytes.get()),
                STORE_LATENCY_MILLIS);
    }

    private LinkStats stats(StoreVm store) {
        return statsByStore.computeIfAbsent(
                store.id(), id -> new LinkStats(LinkEstimate.ofConfiguredRate(store.linkBytesPerSecond())));
    }

    private static final class LinkStats {
        private final AtomicLong queuedBytes = new AtomicLong();
        private volatile LinkEstimate estimate;
        private volatile long lastBlockNanos = System.nanoTime();

        LinkStats(LinkEstimate estimate) {
            this.estimate = estimate;
        }
    }
}
