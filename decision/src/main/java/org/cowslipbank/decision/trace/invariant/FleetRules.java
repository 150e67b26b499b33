package org.cowslipbank.decision.trace.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.decision.trace.invariant.Invariant.Breach;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Rules over configuration and leaving upstreams. */
final class FleetRules {
    /** Bound of promise P7. */
    private static final long LEAVING_BOUND_MILLIS = 3_000;

    private FleetRules() {}

    /** P9: no node goes back to a lower revision. */
    static List<Breach> revisionNeverFalls(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Map<VmId, Long> revisions = new HashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.RevisionApplied applied) {
                Long before = revisions.put(applied.node(), applied.revision());
                if (before != null && applied.revision() < before) {
                    breaches.add(new Breach(
                            timed, applied.node() + " went from revision " + before + " to " + applied.revision()));
                }
            }
        }
        return breaches;
    }

    /** P7: a leaving upstream gets no new work after 3 s. */
    static List<Breach> nothingNewToLeavingUpstream(List<TimedFact> facts) {
        List<Breach> breaches = new ArrayList<>();
        Map<UpstreamId, Long> leavingSince = new HashMap<>();
        for (TimedFact timed : facts) {
            if (timed.fact() instanceof Fact.UpstreamLeaving leaving) {
                leavingSince.putIfAbsent(leaving.upstream(), timed.timeMillis());
            } else if (timed.fact() instanceof Fact.UpstreamReturned returned) {
                leavingSince.remove(returned.upstream());
            } else if (timed.fact() instanceof Fact.AttemptSent sent) {
                Long since = leavingSince.get(sent.upstream());
                if (since != null && timed.timeMillis() - since > LEAVING_BOUND_MILLIS) {
                    breaches.add(new Breach(
                            timed,
                            sent.upstream() + " got " + sent.attempt() + " " + (timed.timeMillis() - since)
                                    + " ms after it began to leave"));
                }
            }
        }
        return breaches;
    }
}
