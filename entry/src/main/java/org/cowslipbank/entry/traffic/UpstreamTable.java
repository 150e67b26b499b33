package org.cowslipbank.entry.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.EngineLoad;

/** State of each engine: its last load report, the work sent by this node since then, and whether it answers. */
public final class UpstreamTable {
    // A failed upstream is tried again after this time, or once a load report arrives if that is earlier.
    private static final long DOWN_MILLIS = 2_000;

    private final Map<UpstreamId, EngineStats> statsByEngine = new ConcurrentHashMap<>();

    /**
     * Records a load report and clears the failure mark.
     *
     * @param upstream the engine
     * @param load its report
     */
    public void recordLoadReport(UpstreamId upstream, EngineLoad load) {
        EngineStats stats = stats(upstream);
        stats.load = load;
        stats.downUntilMillis = 0;
        stats.sentTokens.set(0);
        stats.sentRuns.set(0);
    }

    /**
     * Marks an engine as not answering for 2 s or until its next load report.
     *
     * @param upstream the engine
     * @param nowMillis the monotonic time in milliseconds
     */
    public void markDown(UpstreamId upstream, long nowMillis) {
        stats(upstream).downUntilMillis = nowMillis + DOWN_MILLIS;
    }

    /**
     * Records a run sent to an engine.
     *
     * @param upstream the engine
     * @param promptTokens prompt tokens that the engine has to compute
     */
    public void recordRunSent(UpstreamId upstream, long promptTokens) {
        EngineStats stats = stats(upstream);
        stats.sentTokens.addAndGet(promptTokens);
        stats.sentRuns.incrementAndGet();
        stats.inFlight.incrementAndGet();
    }

    /**
     * Records that a run at an engine has ended.
     *
     * @param upstream the engine
     */
    public void recordRunEnd(UpstreamId upstream) {
        stats(upstream).inFlight.decrementAndGet();
    }

    /**
     * Returns the number of runs that this node has in flight at an engine.
     *
     * @param upstream the engine
     * @return the number of runs
     */
    public int inFlight(UpstreamId upstream) {
        return stats(upstream).inFlight.get();
    }

    /**
     * Returns the last load report of an engine.
     *
     * @param upstream the engine
     * @return the report, or empty if none has arrived
     */
    public Optional<EngineLoad> lastLoadReport(UpstreamId upstream) {
        return Optional.ofNullable(statsByEngine.get(upstream)).map(stats -> stats.load);
    }

    /** Returns the last load report of an engine; empty if there is none or the engine is marked as down. */
    Optional<EngineLoad> load(UpstreamId upstream, long nowMillis) {
        EngineStats stats = statsByEngine.get(upstream);
        if (stats == null || stats.load == null || nowMillis < stats.downUntilMillis) {
            return Optional.empty();
        }
        return Optional.of(stats.load);
    }

    long sentTokens(UpstreamId upstream) {
        return stats(upstream).sentTokens.get();
    }

    Optional<Capacity.UpstreamLoad> capacityOf(UpstreamId upstream, long nowMillis) {
        return load(upstream, nowMillis)
                .map(load -> new Capacity.UpstreamLoad(
                        load.slots(),
                        load.running(),
                        load.waiting(),
                        stats(upstream).sentRuns.get()));
    }

    private EngineStats stats(UpstreamId upstream) {
        return statsByEngine.computeIfAbsent(upstream, id -> new EngineStats());
    }

    private static final class EngineStats {
        private final AtomicLong sentTokens = new AtomicLong();
        private final AtomicInteger sentRuns = new AtomicInteger();
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile EngineLoad load;
        private volatile long downUntilMillis;
    }
}
