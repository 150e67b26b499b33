package org.cowslipbank.model.fleet;

import java.util.List;

/**
 * Facts piggybacked on one message.
 *
 * @param members states of nodes
 * @param upstreams upstreams that leave
 * @param reach which data centres hear from each other
 * @param suspects requests in flight at crashes
 * @param loads load digests
 */
public record Facts(
        List<MemberFact> members,
        List<UpstreamFact> upstreams,
        List<ReachFact> reach,
        List<SuspectFact> suspects,
        List<LoadFact> loads) {
    /** No facts. */
    public static final Facts NONE = new Facts(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public Facts {
        members = List.copyOf(members);
        upstreams = List.copyOf(upstreams);
        reach = List.copyOf(reach);
        suspects = List.copyOf(suspects);
        loads = List.copyOf(loads);
    }

    /**
     * Tells whether there are no facts.
     *
     * @return true if every list is empty
     */
    public boolean isEmpty() {
        return members.isEmpty() && upstreams.isEmpty() && reach.isEmpty() && suspects.isEmpty() && loads.isEmpty();
    }
}
