package org.cowslipbank.decision.membership;

import java.util.List;

import org.cowslipbank.model.fleet.GossipPayload;

/** An input of the state machine. */
public sealed interface FleetEvent {
    /** Time has passed. Expected several times a second. */
    record Tick() implements FleetEvent {}

    /**
     * A message from an authenticated node has arrived.
     *
     * @param from the sender
     * @param packet the message
     */
    record Received(NodeAddress from, Packet packet) implements FleetEvent {}

    /**
     * The seed list of the settings or the platform's VM list was read.
     *
     * @param nodes the nodes
     */
    record NodesListed(List<ListedNode> nodes) implements FleetEvent {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public NodesListed {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * This node publishes facts. Their versions are raised above known ones, so that these facts take
     * precedence.
     *
     * @param facts the facts; member facts are ignored
     */
    record Published(GossipPayload facts) implements FleetEvent {}

    /**
     * This node has applied a configuration revision, or the platform has confirmed the applied revision again.
     *
     * @param revision the revision
     * @param confirmedAtMillis when the platform last confirmed it, on the clock of the state machine; negative if never
     */
    record RevisionApplied(long revision, long confirmedAtMillis) implements FleetEvent {}

    /** This node starts draining. */
    record Drain() implements FleetEvent {}
}
