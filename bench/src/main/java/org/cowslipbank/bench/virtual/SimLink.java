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
    private final SimulatedDeployment deployment;
    private final Deque<StreamEvent> buffered = new ArrayDeque<>();
    private boolean silent;
    private boolean closed;
    private boolean paused;

    SimLink(SimulatedDeployment deployment, SimStream stream, AttemptId attempt, int connection) {
        this.deployment = deployment;
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
            deliver(stream, buffered.removeFirst(), SimulatedDeployment.LATENCY_MILLIS);
        }
    }

    void send(StreamEvent event) {
        LinkFaults faults = deployment.options.faults();
        silent |= deployment.occurs(faults.silent());
        if (silent || closed || deployment.occurs(faults.lost())) {
            return;
        }
        if (deployment.occurs(faults.broken())) {
            fail(FailureKind.BROKEN);
            return;
        }
        if (paused) {
            buffered.addLast(event);
            return;
        }
        boolean late = deployment.occurs(faults.late());
        long delayMillis = SimulatedDeployment.LATENCY_MILLIS
                + (late ? deployment.random.nextInt((int) MAX_EXTRA_DELAY_MILLIS) : 0);
        SimStream receiver = deployment.occurs(faults.misrouted()) ? stream.node.randomStream(stream) : stream;
        deliver(receiver, event, delayMillis);
        if (deployment.occurs(faults.duplicated())) {
            deliver(receiver, event, delayMillis + deployment.random.nextInt(100));
        }
    }

    void fail(FailureKind kind) {
        if (silent || closed) {
            return;
        }
        closed = true;
        deployment.clock.after(
                SimulatedDeployment.LATENCY_MILLIS,
                () -> stream.node.onEvent(stream, new StreamEvent.Failed(attempt, connection, kind)));
    }

    private void deliver(SimStream receiver, StreamEvent event, long delayMillis) {
        deployment.clock.after(delayMillis, () -> receiver.node.onEvent(receiver, event));
    }
}
