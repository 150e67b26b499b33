package org.cowslipbank.decision.relay;

/**
 * Bounds how long data may have waited in a socket's buffer before the event loop read it. The kernel does not tell when
 * data arrived, but data that had arrived before the previous turn of the loop would have been read in that turn.
 *
 * <p>The load pattern that this answers is a node with too little processor time: a turn then lasts up to a second, and a
 * request that is read at the end of it has used up that second of its client's time. Confined to the traffic thread.
 */
public final class LoopTurns {
    /** Pause between two turns from which the loop has been waiting for events, so that they are new. */
    static final long IDLE_MILLIS = 2;

    /**
     * The same pause as a share of the turn before. After a long turn a short pause may be a wait for the processor: what
     * arrived in that turn is read only after the pause.
     */
    static final double IDLE_SHARE = 0.25;

    /** Lateness of an expected event from which the thread itself has been waiting for the processor. */
    static final long OVERDUE_MILLIS = 20;

    private static final long NEVER = Long.MIN_VALUE;

    private long turn;
    private boolean inTurn;
    private long startedMillis = NEVER;
    private long endedMillis = NEVER;
    private long expectedMillis = Long.MAX_VALUE - OVERDUE_MILLIS;
    private long earliestArrivalMillis;
    private long overdueMillis;

    /**
     * Records that the loop handles an event of a socket.
     *
     * @param nowMillis the time in milliseconds
     * @return true if this is the first event of a turn, so that the caller must arrange for {@link #onTurnEnd}
     */
    public boolean onEvent(long nowMillis) {
        if (inTurn) {
            return false;
        }
        boolean waited = endedMillis == NEVER || nowMillis - endedMillis >= minIdleMillis();
        boolean overdue = endedMillis != NEVER && nowMillis > expectedMillis + OVERDUE_MILLIS;
        // The first event of an overdue turn may be a task, so that the sockets were not read at its start.
        long lastReadMillis = overdueMillis > 0 ? earliestArrivalMillis : startedMillis;
        overdueMillis = overdue && waited ? nowMillis - expectedMillis : 0;
        // Without an idle wait, what arrived since the sockets were last read may be read only now.
        earliestArrivalMillis = waited && !overdue ? nowMillis : lastReadMillis;
        startedMillis = nowMillis;
        inTurn = true;
        turn++;
        return true;
    }

    private long minIdleMillis() {
        return Math.max(IDLE_MILLIS, (long) (IDLE_SHARE * (endedMillis - startedMillis + overdueMillis)));
    }

    /**
     * Announces the next event of a timer. If the first event of a turn comes later than that, the thread did not get the
     * processor, and data may have arrived while it waited for it.
     *
     * @param dueMillis the time at which the timer is due, in milliseconds
     */
    public void expectEvent(long dueMillis) {
        expectedMillis = dueMillis;
    }

    /**
     * Records that all events of the turn have been handled.
     *
     * @param nowMillis the time in milliseconds
     * @return how long the sockets were not read because of this turn or the wait for the processor before it, in
     *     milliseconds
     */
    public long onTurnEnd(long nowMillis) {
        endedMillis = nowMillis;
        inTurn = false;
        return nowMillis - startedMillis + overdueMillis;
    }

    /**
     * Returns the earliest time at which data read in this turn can have arrived.
     *
     * @return the time in milliseconds
     */
    public long earliestArrivalMillis() {
        return earliestArrivalMillis;
    }

    /**
     * Returns when the current turn began, which is when the sockets were last read.
     *
     * @return the time in milliseconds
     */
    public long startedMillis() {
        return startedMillis;
    }

    /**
     * Returns the number of the current turn. Data of a connection that was accepted in the previous turn may have
     * arrived with the connection.
     *
     * @return the number
     */
    public long turn() {
        return turn;
    }
}
