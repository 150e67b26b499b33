package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.StartQueue;
import org.cowslipbank.decision.relay.WaitingQueue;

/**
 * Starts requests after all sockets have been read, so that a client that has closed its connection is noticed before its
 * request is sent on. Long queues are started in slices between which the sockets are read again. Runs on the traffic
 * thread.
 */
final class RequestStarter {
    /** Length of a slice; a close that arrives meanwhile is noticed after it. */
    static final long SLICE_MILLIS = 15;

    private final StartQueue<Exchange> queue = new StartQueue<>();
    private final EventLoop loop;
    private final Clocks clocks;
    private final LoopTurnTracker turns;
    private boolean scheduled;

    RequestStarter(EventLoop loop, Clocks clocks, LoopTurnTracker turns) {
        this.loop = loop;
        this.clocks = clocks;
        this.turns = turns;
    }

    /**
     * Enqueues a request.
     *
     * @param exchange the request
     * @param times its times
     * @return empty if it will be started, otherwise the time in milliseconds until the present queue has been started
     */
    OptionalLong submit(Exchange exchange, WaitingQueue.Times times) {
        OptionalLong refused = queue.offer(exchange, times, clocks.nowMillis());
        if (refused.isEmpty() && !scheduled) {
            scheduled = true;
            loop.execute(this::startSlice);
        }
        return refused;
    }

    int size() {
        return queue.size();
    }

    // Without the guard, an unexpected error in one request would end the starts of all others.
    private static void start(StartQueue.Next<Exchange> next) {
        next.request().guarded(() -> next.request().startAttempt(next.expired()));
    }

    private void startSlice() {
        turns.onEvent();
        long endMillis = clocks.nowMillis() + SLICE_MILLIS;
        Optional<StartQueue.Next<Exchange>> next = queue.poll(clocks.nowMillis());
        while (next.isPresent()) {
            start(next.get());
            long nowMillis = clocks.nowMillis();
            queue.onStarted(nowMillis);
            next = nowMillis < endMillis ? queue.poll(nowMillis) : Optional.empty();
        }
        scheduled = !queue.isEmpty();
        if (scheduled) {
            // A scheduled task runs in the next turn at the earliest, after the sockets have been read.
            loop.schedule(this::startSlice, 0, TimeUnit.MILLISECONDS);
        }
    }
}
