package org.cowslipbank.decision.membership;

import java.util.List;

import org.cowslipbank.model.fleet.Facts;

/** What happens to the state machine. */
public sealed interface FleetEvent {
    /** Time has passed. Expected several times a second. */
    record Tick() implements FleetEvent {}

    /**
     * A message of an authenticated node has arrived.
     *
     * @param from the sender
     * @param packet the message
     */
    record Received(NodeAddress from, Packet packet) implements FleetEvent {}

    /**
     * The settings' seed list or the platform's VM list has been read.
     *
     * @param nodes the nodes
     */
    record Listed(List<ListedNode> nodes) implements FleetEvent {
        /** Copies the list. */
        public Listed {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * This node states facts. Versions lower than a known one are raised, so that the newest statement wins.
     *
     * @param facts the facts; member facts are ignored
     */
    record Published(Facts facts) implements FleetEvent {}

    /**
     * A configuration revision is in force at this node.
     *
     * @param revision the revision
     * @param confirmedAtMillis when the platform last confirmed it, on the state machine's clock; negative if never
     */
    record RevisionInForce(long revision, long confirmedAtMillis) implements FleetEvent {}

    /** This node starts to drain. */
    record Drain() implements FleetEvent {}
}
