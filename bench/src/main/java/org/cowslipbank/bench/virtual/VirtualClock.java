package org.cowslipbank.bench.virtual;

import java.util.PriorityQueue;

/** Runs actions in the order of their virtual time; actions of equal time run in the order of scheduling. */
public final class VirtualClock {
    private final PriorityQueue<Entry> queue = new PriorityQueue<>();
    private long nowMillis;
    private long sequence;

    private record Entry(long atMillis, long sequence, Runnable action) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Returns the current virtual time.
     *
     * @return the time in milliseconds since the start of the simulation
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action to run once.
     *
     * @param delayMillis delay in milliseconds; a negative one counts as zero
     * @param action the action
     */
    public void after(long delayMillis, Runnable action) {
        queue.add(new Entry(nowMillis + Math.max(0, delayMillis), sequence++, action));
    }

    /**
     * Runs an action periodically, first after one period, for as long as the clock runs.
     *
     * @param periodMillis the period in milliseconds
     * @param action the action
     */
    public void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    /**
     * Runs all actions that are due up to a time, which then is the current time.
     *
     * @param untilMillis the time in milliseconds, inclusive
     */
    public void runUntil(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            Entry entry = queue.poll();
            nowMillis = entry.atMillis();
            entry.action().run();
        }
        nowMillis = untilMillis;
    }
}
