package org.cowslipbank.entry.traffic;

import io.netty.channel.EventLoopGroup;
import org.cowslipbank.decision.admission.NodeLoad;
import reactor.netty.http.HttpResources;

/** Measures the scheduling delay of the event loops that carry traffic, one loop per sample in turn. */
final class EventLoopProbe {
    private static final double NANOS_PER_MILLI = 1e6;

    private final TrafficContext context;
    private final EventLoopGroup eventLoops = HttpResources.get().onServer(true);
    private NodeLoad load = NodeLoad.START;
    private volatile boolean overloaded;

    EventLoopProbe(TrafficContext context) {
        this.context = context;
    }

    boolean isOverloaded() {
        return overloaded;
    }

    void probe() {
        long submittedNanos = System.nanoTime();
        eventLoops.next().execute(() -> recordSample((System.nanoTime() - submittedNanos) / NANOS_PER_MILLI));
    }

    private synchronized void recordSample(double lagMillis) {
        NodeLoad.Input sample =
                new NodeLoad.Input(load, lagMillis, context.clock().nowMillis());
        load = NodeLoad.withSample(sample);
        if (load.overloaded() != overloaded) {
            // Only changes are recorded: 20 samples per second would fill the trace with little else.
            context.recorder().decide(NodeLoad.DECISION, sample);
        }
        overloaded = load.overloaded();
    }
}
