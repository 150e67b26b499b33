package org.cowslipbank.bench.virtual;

import java.util.ArrayDeque;
import java.util.Deque;

import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;

/** One connection from an engine to a node for one attempt. */
final class SimLink {
    private static final long LATE_MILLIS = 3_000;

    final SimStream stream;
    final AttemptId attempt;
    final int connection;
    private final World world;
    private final Deque<StreamEvent> held = new ArrayDeque<>();
    private boolean silent;
    private boolean closed;
    private boolean paused;

    SimLink(World world, SimStream stream, AttemptId attempt, int connection) {
        this.world = world;
        this.stream = stream;
        this.attempt = attempt;
        this.connection = connection;
    }

    int held() {
        return held.size();
    }

    void pause() {
        paused = true;
    }

    void proceed() {
        paused = false;
        while (!held.isEmpty()) {
            deliver(stream, held.removeFirst(), World.LATENCY_MILLIS);
        }
    }

    void send(StreamEvent event) {
        LinkFaults faults = world.options.faults();
        silent |= world.chance(faults.silent());
        if (silent || closed || world.chance(faults.lost())) {
            return;
        }
        if (world.chance(faults.broken())) {
            fail(FailureKind.BROKEN);
            return;
        }
        if (paused) {
            held.addLast(event);
            return;
        }
        boolean late = world.chance(faults.late());
        long delayMillis = World.LATENCY_MILLIS + (late ? world.random.nextInt((int) LATE_MILLIS) : 0);
        SimStream receiver = world.chance(faults.crossed()) ? stream.node.anyStream(stream) : stream;
        deliver(receiver, event, delayMillis);
        if (world.chance(faults.doubled())) {
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
