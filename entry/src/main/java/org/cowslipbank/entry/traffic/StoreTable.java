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

/** What this node knows about each store's link: the measured rate, the bytes it waits for, and whether it answers. */
public final class StoreTable {
    private static final double DISK_SHARE_OF_LINK = 0.25;
    private static final double LATENCY_MILLIS = 2;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<StoreId, View> views = new ConcurrentHashMap<>();

    LinkState state(StoreVm store, long nowMillis) {
        return view(store).estimate.state();
    }

    List<StoreLink> links(List<StoreVm> stores, long nowMillis) {
        return stores.stream().map(store -> link(store, nowMillis)).toList();
    }

    /**
     * Tells whether a store's link is in use.
     *
     * @param store the store
     * @return false while the link is closed after a time-out
     */
    public boolean isUp(StoreVm store) {
        return state(store, System.nanoTime() / 1_000_000) == LinkState.UP;
    }

    /**
     * Returns the measured rate of a store's link.
     *
     * @param store the store
     * @return the rate in bytes a second
     */
    public double bytesPerSecond(StoreVm store) {
        return view(store).estimate.bytesPerSecond();
    }

    void received(StoreVm store, long bytes, double elapsedMillis) {
        View view = view(store);
        view.lastBlockNanos = System.nanoTime();
        synchronized (view) {
            view.estimate = view.estimate.received(bytes, elapsedMillis, System.nanoTime() / 1_000_000);
        }
    }

    void timedOut(StoreVm store, long bytes, double elapsedMillis, long nowMillis) {
        View view = view(store);
        synchronized (view) {
            view.estimate = view.estimate.timedOut(bytes, elapsedMillis, nowMillis);
        }
    }

    boolean needsProbe(StoreVm store, long nowMillis) {
        return view(store).estimate.needsProbe(nowMillis);
    }

    /**
     * Takes in that a store has answered a probe. A probe carries no block, so a link that was down keeps its rate, and
     * a link that is estimated slow is moved towards its configured rate, until a fetch measures it.
     */
    void answeredProbe(StoreVm store, long nowMillis) {
        View view = view(store);
        synchronized (view) {
            LinkEstimate old = view.estimate;
            boolean down = old.state() == LinkState.DOWN;
            double rate = down ? old.bytesPerSecond() : store.linkBytesPerSecond();
            view.estimate = old.received(Math.max(1, (long) rate), MILLIS_PER_SECOND, nowMillis);
        }
    }

    double peakBytesPerSecond(StoreVm store) {
        return view(store).estimate.peakBytesPerSecond();
    }

    long lastBlockNanos(StoreVm store) {
        return view(store).lastBlockNanos;
    }

    void addQueued(StoreVm store, long bytes) {
        view(store).queuedBytes.addAndGet(bytes);
    }

    private StoreLink link(StoreVm store, long nowMillis) {
        View view = view(store);
        LinkEstimate estimate = view.estimate;
        return new StoreLink(
                store.id(),
                estimate.state(),
                store.linkBytesPerSecond(),
                estimate.bytesPerSecond(),
                estimate.bytesPerSecond() * DISK_SHARE_OF_LINK,
                Math.max(0, view.queuedBytes.get()),
                LATENCY_MILLIS);
    }

    private View view(StoreVm store) {
        return views.computeIfAbsent(store.id(), id -> new View(LinkEstimate.configured(store.linkBytesPerSecond())));
    }

    private static final class View {
        private final AtomicLong queuedBytes = new AtomicLong();
        private volatile LinkEstimate estimate;
        private volatile long lastBlockNanos = System.nanoTime();

        View(LinkEstimate estimate) {
            this.estimate = estimate;
        }
    }
}
