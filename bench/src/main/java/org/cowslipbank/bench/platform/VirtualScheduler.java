package org.cowslipbank.bench.platform;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * A scheduler on a virtual clock. Tasks run in the order of their times, and of their submission where times are equal,
 * on the thread that advances the clock.
 */
public final class VirtualScheduler implements Scheduler {
    private static final class Task implements Disposable, Comparable<Task> {
        private final long atNanos;
        private final long order;
        private Runnable action;

        private Task(long atNanos, long order, Runnable action) {
            this.atNanos = atNanos;
            this.order = order;
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
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long order;

    /**
     * Runs all tasks up to a time and sets the clock to it.
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
     * Returns the time.
     *
     * @return milliseconds since the clock's start
     */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    /**
     * Returns the time with a fraction.
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
        Task task = new Task(nowNanos + Math.max(0, unit.toNanos(delay)), order++, action);
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
