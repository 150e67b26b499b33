package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.decision.trace.Decision;

/** Derives how many requests a node may have in flight at a group of upstreams. */
public final class Capacity {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<Input, Outcome> DECISION =
            new Decision<>("capacity", Input.class, Outcome.class, Capacity::derive);

    private Capacity() {}

    /**
     * One upstream that takes new work, as seen by a node.
     *
     * @param slots maximum number of runs in its batch
     * @param running runs in the batch, as reported
     * @param waiting runs waiting there, as reported
     * @param sentSinceReport runs that this node sent since the report, minus those that ended
     */
    public record UpstreamLoad(int slots, int running, int waiting, int sentSinceReport) {}

    /**
     * Input of the decision.
     *
     * @param upstreams the upstreams that take new work
     * @param nodes number of live nodes that send to them, this one included
     * @param ownSlots this node's slots at them, by {@link SlotShares}
     * @param ownInFlight requests that this node has in flight at them
     * @param keptFree capacity that this node keeps free for modest teams, from {@link AdmissionQueue#modestReserve}
     */
    public record Input(List<UpstreamLoad> upstreams, int nodes, int ownSlots, int ownInFlight, int keptFree) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public Input {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * Outcome of the decision.
     *
     * @param slots total slots of all upstreams
     * @param inFlightLimit maximum number of requests that this node may have in flight
     * @param modestLimit the limit for requests of modest teams, which may also use the capacity that other nodes keep
     *     free
     */
    public record Outcome(int slots, int inFlightLimit, int modestLimit) {}

    /**
     * Derives the limits. A node may always use its own slots; otherwise a node whose reports lag behind the load of
     * other nodes could starve. Beyond its own slots a node takes only its part of the free slots, so that the nodes do
     * not all take the same free slot within one report interval. Work waiting at the engines counts as negative free
     * slots, so nodes that use more than their own slots give some back while others claim theirs. Capacity that nodes
     * keep free looks unused in the reports and is not borrowed.
     *
     * @param input the upstreams' load and this node's share of it
     * @return the limits
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
