package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.ForwardingNodes;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;

/** The other nodes as targets of requests that this node cannot send to an upstream itself. Runs on the traffic thread. */
final class RequestForwarding {
    private final ForwardingNodes load = new ForwardingNodes();
    private final RegisteredNode self;
    private final Supplier<PlatformView> view;
    private final Clocks clocks;
    private final UpstreamConnectionPool connections;

    RequestForwarding(
            RegisteredNode self, Supplier<PlatformView> view, Clocks clocks, UpstreamConnectionPool connections) {
        this.self = self;
        this.view = view;
        this.clocks = clocks;
        this.connections = connections;
    }

    /**
     * Returns the connections to other nodes.
     *
     * @return the connections
     */
    UpstreamConnectionPool connections() {
        return connections;
    }

    /**
     * Chooses the node to which a request is passed.
     *
     * @param tried names of nodes to which it was passed before
     * @param key key that spreads requests among equal nodes
     * @return the node, or empty if no other node reaches the upstreams
     */
    Optional<ForwardingNodes.Node> choose(Set<String> tried, String key) {
        List<ForwardingNodes.Node> nodes = view.get().nodes().values().stream()
                .filter(node -> !node.name().equals(self.name()) && isAble(node))
                .map(node -> new ForwardingNodes.Node(
                        node.name(), node.forwardingAddress(), node.dataCentre(), node.processorCores()))
                .toList();
        return load.choose(nodes, self.dataCentre(), tried, key, clocks.nowMillis());
    }

    private static boolean isAble(RegisteredNode node) {
        return !node.cutOff() && !node.forwardingAddress().isEmpty();
    }

    /**
     * Returns whether a node is registered and reaches the upstreams, as far as this node knows.
     *
     * @param name the node's name
     * @return false once its lease has ended or it says that it is cut off
     */
    boolean isServing(String name) {
        RegisteredNode node = view.get().nodes().get(name);
        return node != null && isAble(node);
    }

    /**
     * Returns whether a node is registered.
     *
     * @param name the node's name
     * @return false once its lease has ended
     */
    boolean isRegistered(String name) {
        return view.get().nodes().containsKey(name);
    }

    void onSent(String name) {
        load.onSent(name);
    }

    void onEnded(String name) {
        load.onEnded(name);
    }

    void onUnable(String name) {
        load.onUnable(name, clocks.nowMillis());
    }

    void retain(Set<String> names) {
        load.retain(names);
    }
}
