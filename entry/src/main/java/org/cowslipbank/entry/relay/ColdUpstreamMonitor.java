package org.cowslipbank.entry.relay;

import java.util.Set;
import java.util.function.ToIntFunction;

import org.cowslipbank.decision.relay.ColdUpstreams;
import org.cowslipbank.entry.log.LogFields;

/** Tells the send permits for cold upstreams what the node knows, and logs what changes. Runs on the traffic thread. */
final class ColdUpstreamMonitor {
    private final ColdUpstreams cold;
    private final String self;
    private final Clocks clocks;
    private final DecisionLog log;
    private Set<String> sendingNodes = Set.of();

    ColdUpstreamMonitor(ColdUpstreams cold, String self, Clocks clocks, DecisionLog log) {
        this.cold = cold;
        this.self = self;
        this.clocks = clocks;
        this.log = log;
    }

    /**
     * Applies a new state of the platform.
     *
     * @param view the state
     * @param nodes the registered nodes that may send
     */
    void onView(PlatformView view, Set<String> nodes) {
        sendingNodes = nodes;
        cold.setNodes(nodes, self, clocks.nowMillis());
        cold.apply(view.cold(), clocks.nowMillis());
        logChanges();
    }

    /**
     * Called twice a second: cold periods and earlier sets of nodes end by time.
     *
     * @param openConnections returns the number of open connections to an address
     */
    void sweep(ToIntFunction<String> openConnections) {
        cold.setNodes(sendingNodes, self, clocks.nowMillis());
        cold.settleBreaks(openConnections, clocks.nowMillis());
        logChanges();
    }

    private void logChanges() {
        for (ColdUpstreams.Change change : cold.takeChanges(clocks.nowMillis())) {
            log.logState(LogFields.event(change.leftMillis() > 0 ? "upstream is cold" : "upstream is no longer cold")
                    .field("incarnation", change.incarnation())
                    .field("leftMillis", change.leftMillis())
                    .field("afterLostContact", change.afterLostContact())
                    .field("nodes", cold.nodeCount()));
        }
    }
}
