package org.cowslipbank.entry.traffic;

import io.netty.channel.EventLoopGroup;
import org.cowslipbank.decision.admission.NodeLoad;
import reactor.netty.http.HttpResources;

/** Measures how long work waits for the event loops that carry traffic, one loop after the other. */
final class EventLoopProbe {
    private static final double NANOS_PER_MILLI = 1e6;

    private final TrafficContext context;
    private final EventLoopGroup loops = HttpResources.get().onServer(true);
    private NodeLoad load = NodeLoad.START;
    private volatile boolean overloaded;

    EventLoopProbe(TrafficContext context) {
        this.context = context;
    }

    boolean isOverloaded() {
        return overloaded;
    }

    void probe() {
        long askedNanos = System.nanoTime();
        loops.next().execute(() -> sampled((System.nanoTime() - askedNanos) / NANOS_PER_MILLI));
    }

    private synchronized void sampled(double lagMillis) {
        NodeLoad.Input sample =
                new NodeLoad.Input(load, lagMillis, context.clock().nowMillis());
        load = NodeLoad.sampled(sample);
        if (load.overloaded() != overloaded) {
            // Only changes are recorded; twenty samples a second would drown the other decisions.
            context.recorder().decide(NodeLoad.DECISION, sample);
        }
        overloaded = load.overloaded();
    }
}
