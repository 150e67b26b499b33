package org.cowslipbank.entry.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import org.cowslipbank.decision.relay.LoopTurns;

/** Reports the turns of the event loop to {@link LoopTurns}. Runs on the traffic thread. */
final class LoopTurnTracker {
    /** Length of a turn from which the silence of upstreams in it says nothing about them. */
    static final long LONG_TURN_MILLIS = 20;

    private final LoopTurns turns = new LoopTurns();
    private final EventLoop loop;
    private final Clocks clocks;
    private final LongTurnListener longTurns;

    /** Receives turns in which the sockets were not read for a noticeable time. */
    @FunctionalInterface
    interface LongTurnListener {
        /**
         * Called at the end of such a turn.
         *
         * @param unreadMillis how long the sockets were not read, in milliseconds
         * @param nowMillis the time in milliseconds
         */
        void onLongTurn(long unreadMillis, long nowMillis);
    }

    LoopTurnTracker(EventLoop loop, Clocks clocks, LongTurnListener longTurns) {
        this.loop = loop;
        this.clocks = clocks;
        this.longTurns = longTurns;
    }

    /** Called at the beginning of each event handler and task that takes noticeable time. */
    void onEvent() {
        if (!turns.onEvent(clocks.nowMillis())) {
            return;
        }
        if (loop instanceof SingleThreadEventLoop single) {
            single.executeAfterEventLoopIteration(this::onTurnEnd);
        } else {
            loop.execute(this::onTurnEnd);
        }
    }

    /** Called by the timer with the shortest period, so that turns that begin late are noticed. */
    void expectEvent(long dueMillis) {
        turns.expectEvent(dueMillis);
    }

    private void onTurnEnd() {
        long nowMillis = clocks.nowMillis();
        long unreadMillis = turns.onTurnEnd(nowMillis);
        if (unreadMillis >= LONG_TURN_MILLIS) {
            longTurns.onLongTurn(unreadMillis, nowMillis);
        }
    }

    /**
     * Returns the earliest time at which data read in this turn can have arrived.
     *
     * @return the time in milliseconds
     */
    long earliestArrivalMillis() {
        return turns.earliestArrivalMillis();
    }

    /**
     * Returns when the sockets were last read. Silence is judged as of this time.
     *
     * @return the time in milliseconds
     */
    long lastReadMillis() {
        return turns.startedMillis();
    }

    /**
     * Returns the number of the current turn.
     *
     * @return the number
     */
    long turn() {
        return turns.turn();
    }
}
