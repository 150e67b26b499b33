package org.cowslipbank.bench.platform;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * A scheduler on a virtual clock. Tasks run on the thread that advances the clock, ordered by time and then by
 * submission.
 */
public final class VirtualScheduler implements Scheduler {
    private static final class Task implements Disposable, Comparable<Task> {
        private final long atNanos;
        private final long sequence;
        private Runnable action;

        private Task(long atNanos, long sequence, Runnable action) {
            this.atNanos = atNanos;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public void dispose() {
            action = null;
        }

        @Override
        public boolean isDisposed() {
            return action == null;
        }

        @Override
        public int compareTo(Task other) {
            int timeOrder = Long.compare(atNanos, other.atNanos);
            return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long sequence;

    /**
     * Advances the clock to a time and runs all tasks that are due by then.
     *
     * @param millis the time in milliseconds since the clock's start
     */
    public void advanceTo(long millis) {
        long untilNanos = TimeUnit.MILLISECONDS.toNanos(millis);
        while (!tasks.isEmpty() && tasks.peek().atNanos <= untilNanos) {
            Task task = tasks.poll();
            nowNanos = Math.max(nowNanos, task.atNanos);
            Runnable action = task.action;
            if (action != null) {
                task.dispose();
                action.run();
            }
        }
        nowNanos = Math.max(nowNanos, untilNanos);
    }

    /**
     * Returns the virtual time in whole milliseconds.
     *
     * @return milliseconds since the clock's start
     */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    /**
     * Returns the virtual time in milliseconds with its fraction.
     *
     * @return milliseconds since the clock's start
     */
    public double preciseMillis() {
        return nowNanos / 1e6;
    }

    @Override
    public long now(TimeUnit unit) {
        return unit.convert(nowNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable action) {
        return schedule(action, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable action, long delay, TimeUnit unit) {
        Task task = new Task(nowNanos + Math.max(0, unit.toNanos(delay)), sequence++, action);
        tasks.add(task);
        return task;
    }

    @Override
    public Worker createWorker() {
        return new Worker() {
            private boolean disposed;

            @Override
            public Disposable schedule(Runnable action) {
                return schedule(action, 0, TimeUnit.NANOSECONDS);
            }

            @Override
            public Disposable schedule(Runnable action, long delay, TimeUnit unit) {
                return VirtualScheduler.this.schedule(
                        () -> {
                            if (!disposed) {
                                action.run();
                            }
                        },
                        delay,
                        unit);
            }

            @Override
            public void dispose() {
                disposed = true;
            }
        };
    }
}
