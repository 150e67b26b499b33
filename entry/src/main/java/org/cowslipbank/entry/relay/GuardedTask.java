package org.cowslipbank.entry.relay;

import org.cowslipbank.entry.log.LogFields;

/**
 * A periodic or queued task that survives an unexpected error. Schedulers cancel a periodic task that throws, which would
 * silently end a duty of the node such as its lease or its load digests.
 */
final class GuardedTask implements Runnable {
    private final String name;
    private final Runnable task;
    private final DecisionLog log;

    GuardedTask(String name, Runnable task, DecisionLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.logState(LogFields.event("unexpected error in task; it goes on")
                    .field("task", name)
                    .error(e));
        }
    }
}
