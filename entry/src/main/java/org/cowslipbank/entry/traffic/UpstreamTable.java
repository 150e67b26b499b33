package org.cowslipbank.entry.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.EngineLoad;

/** What this node knows about each engine: the last load report, what it has sent since, and whether it answers. */
public final class UpstreamTable {
    // An upstream that failed is tried again after this time; a report that arrives earlier clears the mark.
    private static final long DOWN_MILLIS = 2_000;

    private final Map<UpstreamId, View> views = new ConcurrentHashMap<>();

    /**
     * Takes in a load report.
     *
     * @param upstream the engine
     * @param load its report
     */
    public void report(UpstreamId upstream, EngineLoad load) {
        View view = view(upstream);
        view.load = load;
        view.downUntilMillis = 0;
        view.sentTokens.set(0);
        view.sentRuns.set(0);
    }

    /**
     * Marks an engine as not answering for a short time.
     *
     * @param upstream the engine
     * @param nowMillis the monotonic time in milliseconds
     */
    public void markDown(UpstreamId upstream, long nowMillis) {
        view(upstream).downUntilMillis = nowMillis + DOWN_MILLIS;
    }

    /**
     * Notes a run sent to an engine.
     *
     * @param upstream the engine
     * @param promptTokens prompt tokens that the engine has to compute
     */
    public void sent(UpstreamId upstream, long promptTokens) {
        View view = view(upstream);
        view.sentTokens.addAndGet(promptTokens);
        view.sentRuns.incrementAndGet();
        view.inFlight.incrementAndGet();
    }

    /**
     * Notes that a run has ended.
     *
     * @param upstream the engine
     */
    public void ended(UpstreamId upstream) {
        view(upstream).inFlight.decrementAndGet();
    }

    /**
     * Returns the runs that this node has in flight at an engine.
     *
     * @param upstream the engine
     * @return the number of runs
     */
    public int inFlight(UpstreamId upstream) {
        return view(upstream).inFlight.get();
    }

    /**
     * Returns the last load report of an engine.
     *
     * @param upstream the engine
     * @return the report, or empty if there is none
     */
    public Optional<EngineLoad> report(UpstreamId upstream) {
        return Optional.ofNullable(views.get(upstream)).map(view -> view.load);
    }

    Optional<EngineLoad> load(UpstreamId upstream, long nowMillis) {
        View view = views.get(upstream);
        if (view == null || view.load == null || nowMillis < view.downUntilMillis) {
            return Optional.empty();
        }
        return Optional.of(view.load);
    }

    long sentTokens(UpstreamId upstream) {
        return view(upstream).sentTokens.get();
    }

    Optional<Capacity.UpstreamLoad> capacityOf(UpstreamId upstream, long nowMillis) {
        return load(upstream, nowMillis)
                .map(load -> new Capacity.UpstreamLoad(
                        load.slots(),
                        load.running(),
                        load.waiting(),
                        view(upstream).sentRuns.get()));
    }

    private View view(UpstreamId upstream) {
        return views.computeIfAbsent(upstream, id -> new View());
    }

    private static final class View {
        private final AtomicLong sentTokens = new AtomicLong();
        private final AtomicInteger sentRuns = new AtomicInteger();
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile EngineLoad load;
        private volatile long downUntilMillis;
    }
}
