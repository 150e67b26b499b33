package org.cowslipbank.entry.relay;

import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.traffic.MonotonicClock;

/**
 * Structured log with a bounded rate: lines about requests beyond the limit per second are counted instead of written,
 * and the count is logged in the next second. The log itself drops lines rather than block.
 */
public final class DecisionLog {
    /** Limit on lines per second: one line per request, at twice the highest expected request rate of a node. */
    public static final int LINES_PER_SECOND = 60;

    private static final Logger LOG = LogManager.getLogger(DecisionLog.class);
    private static final long SECOND_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final int linesPerSecond;
    private final AtomicLong second = new AtomicLong();
    private final AtomicLong lines = new AtomicLong();

    /**
     * Creates a log.
     *
     * @param clock the clock
     * @param linesPerSecond limit on request lines per second
     */
    public DecisionLog(MonotonicClock clock, int linesPerSecond) {
        this.clock = clock;
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Writes a line about a request, or counts it as dropped if the limit of this second is reached.
     *
     * @param line the line
     */
    public void logRequest(LogFields line) {
        if (tryAcquireLine()) {
            LOG.info(line);
        }
    }

    /**
     * Writes a line about the node's state; such lines are few and not subject to the limit.
     *
     * @param line the line
     */
    public void logState(LogFields line) {
        LOG.info(line);
    }

    private boolean tryAcquireLine() {
        long now = clock.nowMillis() / SECOND_MILLIS;
        long last = second.get();
        if (now != last && second.compareAndSet(last, now)) {
            long dropped = lines.getAndSet(0) - linesPerSecond;
            if (dropped > 0) {
                LOG.info(LogFields.event("log lines dropped").field("lines", dropped));
            }
        }
        return lines.incrementAndGet() <= linesPerSecond;
    }
}
