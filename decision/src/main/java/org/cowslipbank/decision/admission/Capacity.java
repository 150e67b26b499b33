package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.decision.trace.Decision;

/** Derives how many requests a node may have in flight at a group of upstreams. */
public final class Capacity {
    /** The decision, to be recorded and replayed. */
    public static final Decision<Input, Outcome> DECISION =
            new Decision<>("capacity", Input.class, Outcome.class, Capacity::derive);

    private Capacity() {}

    /**
     * What a node knows of one upstream that takes new work.
     *
     * @param slots the most runs in its batch
     * @param running runs in the batch, as reported
     * @param waiting runs that wait there, as reported
     * @param sentSinceReport runs that this node sent since the report, less those that ended
     */
    public record UpstreamLoad(int slots, int running, int waiting, int sentSinceReport) {}

    /**
     * Input of the decision.
     *
     * @param upstreams the upstreams that take new work
     * @param nodes live nodes that send to them, this one included
     * @param ownSlots this node's slots at them, by {@link SlotShares}
     * @param ownInFlight requests that this node has in flight at them
     * @param keptFree places that this node keeps free for modest teams, {@link Admission#keptFree}
     */
    public record Input(List<UpstreamLoad> upstreams, int nodes, int ownSlots, int ownInFlight, int keptFree) {
        /** Copies the list. */
        public Input {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * Outcome of the decision.
     *
     * @param slots slots of all upstreams
     * @param inFlightLimit the most requests this node may have in flight
     * @param modestLimit the most while a modest team has a request: the places that other nodes keep free are included
     */
    public record Outcome(int slots, int inFlightLimit, int modestLimit) {}

    /**
     * Derives the limit. The node's own slots are always granted; without it a node whose reports lag behind other nodes' work
     * could starve. Beyond it, the node takes its part of the free slots, so all nodes together do not take a free
     * slot many times in one report interval. Work that waits at the engines counts as negative free slots, so nodes
     * beyond their own slots give slots back while others claim theirs. Places that nodes keep free look unused in the
     * reports and are not borrowed.
     *
     * @param input the input
     * @return the limit
     */
    public static Outcome derive(Input input) {
        int slots = 0;
        int free = 0;
        for (UpstreamLoad load : input.upstreams()) {
            slots += load.slots();
            free += load.slots() - load.running() - load.waiting() - load.sentSinceReport();
        }
        int nodes = Math.max(1, input.nodes());
        int borrowed = input.ownInFlight() + Math.floorDiv(free - nodes * input.keptFree(), nodes);
        int limit = Math.max(input.ownSlots(), Math.min(slots, borrowed));
        return new Outcome(slots, limit, Math.min(slots, limit + (nodes - 1) * input.keptFree()));
    }
}
