package org.cowslipbank.entry.relay;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Runs tasks that are due at once, and later ones when the test advances its clock. For one thread. */
final class ManualScheduler implements Scheduler {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis;
    private long number;

    private record Task(long atMillis, long number, Runnable action, Disposable.Swap cancellation) {}

    ManualScheduler(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    long nowMillis() {
        return nowMillis;
    }

    void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task next = tasks.poll();
            nowMillis = Math.max(nowMillis, next.atMillis());
            if (!next.cancellation().isDisposed()) {
                next.action().run();
            }
        }
        nowMillis = untilMillis;
    }

    @Override
    public Disposable schedule(Runnable action) {
        action.run();
        return Disposables.disposed();
    }

    @Override
    public Disposable schedule(Runnable action, long delay, TimeUnit unit) {
        Disposable.Swap cancellation = Disposables.swap();
        tasks.add(new Task(nowMillis + unit.toMillis(delay), number++, action, cancellation));
        return cancellation;
    }

    @Override
    public Disposable schedulePeriodically(Runnable action, long initialDelay, long period, TimeUnit unit) {
        Disposable.Swap cancellation = Disposables.swap();
        Runnable repeated = new Runnable() {
            @Override
            public void run() {
                action.run();
                cancellation.update(schedule(this, period, unit));
            }
        };
        cancellation.update(schedule(repeated, initialDelay, unit));
        return cancellation;
    }

    @Override
    public Worker createWorker() {
        return new Worker() {
            @Override
            public Disposable schedule(Runnable task) {
                return ManualScheduler.this.schedule(task);
            }

            @Override
            public boolean isDisposed() {
                return false;
            }

            @Override
            public void dispose() {}
        };
    }
}
