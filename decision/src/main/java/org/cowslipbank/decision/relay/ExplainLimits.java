package org.cowslipbank.decision.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Limits how often a node explains placements: one at a time and a few a second, because each takes the traffic thread for
 * about as long as the placement of a request. May be used by any thread.
 */
public final class ExplainLimits {
    /** Explanations that may begin within a second. */
    public static final int MAX_PER_SECOND = 5;

    /**
     * Time after which an explanation counts as ended, in milliseconds: its caller waits no longer. Without it, a caller
     * that does not read its answer would keep out all others.
     */
    public static final long DEADLINE_MILLIS = 2_000;

    private static final long WINDOW_MILLIS = 1_000;
    private static final long NONE = 0;

    private final Deque<Long> recentMillis = new ArrayDeque<>(MAX_PER_SECOND);
    private long lastNumber;
    private long running = NONE;
    private long runningSinceMillis;

    /**
     * Begins an explanation if the limits allow one.
     *
     * @param nowMillis the time in milliseconds
     * @return its number, to be passed to {@link #end}; empty if it must be refused
     */
    public synchronized OptionalLong begin(long nowMillis) {
        while (!recentMillis.isEmpty() && nowMillis - recentMillis.peekFirst() >= WINDOW_MILLIS) {
            recentMillis.removeFirst();
        }
        boolean busy = running != NONE && nowMillis - runningSinceMillis < DEADLINE_MILLIS;
        if (busy || recentMillis.size() >= MAX_PER_SECOND) {
            return OptionalLong.empty();
        }
        recentMillis.addLast(nowMillis);
        running = ++lastNumber;
        runningSinceMillis = nowMillis;
        return OptionalLong.of(running);
    }

    /**
     * Records that an explanation was sent or given up; ignored once a later one runs.
     *
     * @param number its number
     */
    public synchronized void end(long number) {
        if (running == number) {
            running = NONE;
        }
    }
}
