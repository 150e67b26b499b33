package org.cowslipbank.model.fleet;

import java.util.List;

/**
 * The gossip that is piggybacked on one message.
 *
 * @param members membership states of nodes
 * @param upstreams upstreams that are leaving or have returned
 * @param reach reachability of data centres, as seen by gateways
 * @param suspects requests that were in flight when an upstream crashed
 * @param loads load digests of upstreams
 */
public record GossipPayload(
        List<MemberFact> members,
        List<UpstreamFact> upstreams,
        List<ReachabilityFact> reach,
        List<SuspectFact> suspects,
        List<LoadFact> loads) {
    /** An empty set of facts. */
    public static final GossipPayload NONE = new GossipPayload(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public GossipPayload {
        members = List.copyOf(members);
        upstreams = List.copyOf(upstreams);
        reach = List.copyOf(reach);
        suspects = List.copyOf(suspects);
        loads = List.copyOf(loads);
    }

    /**
     * Returns whether there are no facts.
     *
     * @return true if every list is empty
     */
    public boolean isEmpty() {
        return members.isEmpty() && upstreams.isEmpty() && reach.isEmpty() && suspects.isEmpty() && loads.isEmpty();
    }
}
