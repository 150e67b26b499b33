package org.cowslipbank.entry.relay;

import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.traffic.MonotonicClock;

/**
 * Structured log of decisions with a bounded volume: beyond a number of lines a second, lines are counted instead of
 * written, and the count is written with the next second. The appender below never blocks.
 */
public final class DecisionLog {
    /** Lines a second: twice the requests of a node at the milestone's highest load, with one line a request. */
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
     * @param linesPerSecond the most lines a second
     */
    public DecisionLog(MonotonicClock clock, int linesPerSecond) {
        this.clock = clock;
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Writes a line about a request, unless the second's lines are used up.
     *
     * @param line the line
     */
    public void request(LogFields line) {
        if (take()) {
            LOG.info(line);
        }
    }

    /**
     * Writes a line about the process itself; these are few and never dropped.
     *
     * @param line the line
     */
    public void state(LogFields line) {
        LOG.info(line);
    }

    private boolean take() {
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
