package org.cowslipbank.bench.virtual;

import java.util.ArrayDeque;
import java.util.Deque;

import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;

/** Models the connection that carries one attempt from an engine to a node, with injected faults. */
final class SimLink {
    /** Upper limit of the extra delay of a late event. */
    private static final long MAX_EXTRA_DELAY_MILLIS = 3_000;

    final SimStream stream;
    final AttemptId attempt;
    final int connection;
    private final World world;
    private final Deque<StreamEvent> buffered = new ArrayDeque<>();
    private boolean silent;
    private boolean closed;
    private boolean paused;

    SimLink(World world, SimStream stream, AttemptId attempt, int connection) {
        this.world = world;
        this.stream = stream;
        this.attempt = attempt;
        this.connection = connection;
    }

    int bufferedEvents() {
        return buffered.size();
    }

    void pauseReading() {
        paused = true;
    }

    void continueReading() {
        paused = false;
        while (!buffered.isEmpty()) {
            deliver(stream, buffered.removeFirst(), World.LATENCY_MILLIS);
        }
    }

    void send(StreamEvent event) {
        LinkFaults faults = world.options.faults();
        silent |= world.occurs(faults.silent());
        if (silent || closed || world.occurs(faults.lost())) {
            return;
        }
        if (world.occurs(faults.broken())) {
            fail(FailureKind.BROKEN);
            return;
        }
        if (paused) {
            buffered.addLast(event);
            return;
        }
        boolean late = world.occurs(faults.late());
        long delayMillis = World.LATENCY_MILLIS + (late ? world.random.nextInt((int) MAX_EXTRA_DELAY_MILLIS) : 0);
        SimStream receiver = world.occurs(faults.crossed()) ? stream.node.randomStream(stream) : stream;
        deliver(receiver, event, delayMillis);
        if (world.occurs(faults.doubled())) {
            deliver(receiver, event, delayMillis + world.random.nextInt(100));
        }
    }

    void fail(FailureKind kind) {
        if (silent || closed) {
            return;
        }
        closed = true;
        world.clock.after(
                World.LATENCY_MILLIS,
                () -> stream.node.onEvent(stream, new StreamEvent.Failed(attempt, connection, kind)));
    }

    private void deliver(SimStream receiver, StreamEvent event, long delayMillis) {
        world.clock.after(delayMillis, () -> receiver.node.onEvent(receiver, event));
    }
}
