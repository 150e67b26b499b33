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
     * Returns the virtual time.
     *
     * @return the time in milliseconds
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action.
     *
     * @param delayMillis delay from now in milliseconds
     * @param action the action
     */
    public void after(long delayMillis, Runnable action) {
        queue.add(new Entry(nowMillis + Math.max(0, delayMillis), sequence++, action));
    }

    /**
     * Repeats an action until the clock is no longer run.
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
     * Runs all actions up to a time.
     *
     * @param untilMillis the time in milliseconds
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
