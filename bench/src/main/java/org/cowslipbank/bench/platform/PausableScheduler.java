package org.cowslipbank.bench.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/** A scheduler for one node that can be paused. Tasks that fall due meanwhile run in order when it is resumed. */
public final class PausableScheduler implements Scheduler {
    private final Scheduler scheduler;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private boolean paused;

    /**
     * Creates a scheduler that is not paused.
     *
     * @param scheduler the scheduler that runs the tasks
     */
    public PausableScheduler(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Pauses or resumes the node.
     *
     * @param isPaused true to pause
     */
    public void setPaused(boolean isPaused) {
        paused = isPaused;
        if (!paused) {
            List<Runnable> deferred = List.copyOf(deferredTasks);
            deferredTasks.clear();
            deferred.forEach(Runnable::run);
        }
    }

    @Override
    public long now(TimeUnit unit) {
        return scheduler.now(unit);
    }

    @Override
    public Disposable schedule(Runnable task) {
        return schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        boolean[] disposed = new boolean[1];
        Runnable guarded = () -> {
            if (!disposed[0]) {
                task.run();
            }
        };
        scheduler.schedule(() -> runOrDefer(guarded), delay, unit);
        return () -> disposed[0] = true;
    }

    @Override
    public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
        boolean[] disposed = new boolean[1];
        scheduleNext(task, initialDelay, period, unit, disposed);
        return () -> disposed[0] = true;
    }

    private void scheduleNext(Runnable task, long delay, long period, TimeUnit unit, boolean[] disposed) {
        schedule(
                () -> {
                    if (!disposed[0]) {
                        scheduleNext(task, period, period, unit, disposed);
                        task.run();
                    }
                },
                delay,
                unit);
    }

    @Override
    public Worker createWorker() {
        return new Worker() {
            private boolean disposed;

            @Override
            public Disposable schedule(Runnable task) {
                return schedule(task, 0, TimeUnit.NANOSECONDS);
            }

            @Override
            public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
                return PausableScheduler.this.schedule(
                        () -> {
                            if (!disposed) {
                                task.run();
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

    private void runOrDefer(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else {
            task.run();
        }
    }
}
