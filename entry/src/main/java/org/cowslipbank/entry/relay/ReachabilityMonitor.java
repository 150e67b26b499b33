package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamReachability;
import org.cowslipbank.entry.log.LogFields;

/**
 * Feeds {@link UpstreamReachability} with the connections of this node, opens the probes that it asks for, and applies its
 * decision. Runs on the traffic thread.
 */
final class ReachabilityMonitor {
    /** Interval of the decisions. */
    static final long STEP_INTERVAL_MILLIS = 100;

    private final UpstreamReachability reachability;
    private final Node node;
    private final EventLoop loop;
    private final Clocks clocks;
    private final LoopTurnTracker turns;
    private final DecisionLog log;

    /**
     * What of the node the decision needs and changes.
     *
     * @param view the newest view of the platform
     * @param connections connections to upstreams
     * @param loads load and availability of upstreams
     * @param metrics counters
     * @param changes receives whether the node is cut off, when that changes
     */
    record Node(
            Supplier<PlatformView> view,
            UpstreamConnectionPool connections,
            UpstreamLoads loads,
            RelayMetrics metrics,
            Consumer<Boolean> changes) {}

    ReachabilityMonitor(
            UpstreamReachability reachability,
            Node node,
            EventLoop loop,
            Clocks clocks,
            LoopTurnTracker turns,
            DecisionLog log) {
        this.reachability = reachability;
        this.node = node;
        this.loop = loop;
        this.clocks = clocks;
        this.turns = turns;
        this.log = log;
    }

    void start() {
        loop.scheduleAtFixedRate(
                new GuardedTask("reachability of upstreams", this::step, log),
                STEP_INTERVAL_MILLIS,
                STEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void step() {
        Map<String, String> serviceByAddress = new HashMap<>();
        node.view()
                .get()
                .activeByService()
                .forEach((service, servers) ->
                        servers.forEach(server -> serviceByAddress.put(server.address(), service)));
        UpstreamReachability.Step step = reachability.step(
                serviceByAddress, node.loads().allSilentMillis(turns.lastReadMillis()), clocks.nowMillis());
        if (step.begun()) {
            begin(serviceByAddress.size());
        }
        if (step.ended()) {
            end(serviceByAddress.size());
        }
        step.probes().forEach(this::probe);
    }

    private void probe(String address) {
        // The pool reports the outcome.
        node.connections().open(address, (opened, error) -> {
            if (error == null) {
                node.connections().release(opened);
            }
            step();
        });
    }

    private void begin(int upstreams) {
        logChange("node is cut off from the upstreams; requests are passed to other nodes", upstreams);
        node.metrics().onCutOff();
        if (!reachability.hasContact(clocks.nowMillis())) {
            node.connections().closeIdle();
        }
        node.changes().accept(true);
    }

    private void end(int upstreams) {
        logChange("node reaches the upstreams again", upstreams);
        node.loads().endQuarantines();
        node.changes().accept(false);
    }

    private void logChange(String event, int upstreams) {
        UpstreamReachability.Evidence evidence = reachability.evidence(clocks.nowMillis());
        log.logState(LogFields.event(event)
                .field("upstreams", upstreams)
                .field("unreachable", evidence.unreachable())
                .field("failingMillis", evidence.failingMillis())
                .field("contactAgeMillis", evidence.contactAgeMillis())
                .field("othersContactAgeMillis", evidence.othersContactAgeMillis())
                .field(
                        "nodesCutOff",
                        node.view().get().nodes().values().stream()
                                .filter(PlatformView.RegisteredNode::cutOff)
                                .count()));
    }
}
