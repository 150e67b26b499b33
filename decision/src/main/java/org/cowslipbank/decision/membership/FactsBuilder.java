package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/** Collects the facts of one message and an upper bound on their encoded size. */
final class FactsBuilder {
    private final List<MemberFact> members = new ArrayList<>();
    private final List<UpstreamFact> upstreams = new ArrayList<>();
    private final List<ReachabilityFact> reach = new ArrayList<>();
    private final List<SuspectFact> suspects = new ArrayList<>();
    private final List<LoadFact> loads = new ArrayList<>();
    private int bytes;

    void add(MemberFact fact) {
        if (!members.contains(fact)) {
            members.add(fact);
            bytes += FactSizes.of(fact);
        }
    }

    void add(UpstreamFact fact) {
        upstreams.add(fact);
        bytes += FactSizes.of(fact);
    }

    void add(ReachabilityFact fact) {
        reach.add(fact);
        bytes += FactSizes.of(fact);
    }

    void add(SuspectFact fact) {
        suspects.add(fact);
        bytes += FactSizes.of(fact);
    }

    void add(LoadFact fact) {
        loads.add(fact);
        bytes += FactSizes.of(fact);
    }

    int bytes() {
        return bytes;
    }

    GossipPayload build() {
        return bytes == 0 ? GossipPayload.NONE : new GossipPayload(members, upstreams, reach, suspects, loads);
    }
}
