package org.cowslipbank.entry.relay;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers the calls by which a node reads the platform's state, so that a request can wait for one that was sent after the
 * request had been read. Numbers are used instead of times, because the monotonic clock stops while a VM is suspended.
 * Thread-safe.
 */
final class StateReadings {
    private final AtomicLong begun = new AtomicLong();
    private final AtomicLong applied = new AtomicLong();

    /**
     * Called before a call is sent.
     *
     * @return the number of the call
     */
    long begin() {
        return begun.incrementAndGet();
    }

    /**
     * Called when the answer of a call has been applied.
     *
     * @param call the number of the call
     */
    void onApplied(long call) {
        applied.accumulateAndGet(call, Math::max);
    }

    /**
     * Returns the number of the next call.
     *
     * @return the number
     */
    long next() {
        return begun.get() + 1;
    }

    /**
     * Returns whether the answer of a call, or of a later one, has been applied.
     *
     * @param call the number of the call
     * @return true if the state is at least as new as the call
     */
    boolean isApplied(long call) {
        return applied.get() >= call;
    }

    /**
     * Returns the number of the newest call whose answer has been applied, for the log.
     *
     * @return the number, zero before the first
     */
    long newestApplied() {
        return applied.get();
    }
}
