package org.cowslipbank.decision.trace.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.decision.trace.invariant.Invariant.Breach;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Invariants on configuration revisions and leaving upstreams. */
final class FleetRules {
    /** Time after which a leaving upstream must get no new work, by promise P7. */
    private static final long LEAVING_BOUND_MILLIS = 3_000;

    private FleetRules() {}

    /** Promise P9: no node goes back to a lower revision. */
    static List<Breach> revisionNeverFalls(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<VmId, Long> revisions = new HashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.RevisionApplied applied) {
                Long before = revisions.put(applied.node(), applied.revision());
                if (before != null && applied.revision() < before) {
                    breaches.add(new Breach(
                            timed, applied.node() + " went from revision " + before + " to " + applied.revision()));
                }
            }
        }
        return breaches;
    }

    /** Promise P7: a leaving upstream gets no new work after 3 s. */
    static List<Breach> nothingNewToLeavingUpstream(List<TimedEvent> events) {
        List<Breach> breaches = new ArrayList<>();
        Map<UpstreamId, Long> leavingSince = new HashMap<>();
        for (TimedEvent timed : events) {
            if (timed.event() instanceof TraceEvent.UpstreamLeaving leaving) {
                leavingSince.putIfAbsent(leaving.upstream(), timed.timeMillis());
            } else if (timed.event() instanceof TraceEvent.UpstreamReturned returned) {
                leavingSince.remove(returned.upstream());
            } else if (timed.event() instanceof TraceEvent.AttemptSent sent) {
                Long since = leavingSince.get(sent.upstream());
                if (since != null && timed.timeMillis() - since > LEAVING_BOUND_MILLIS) {
                    breaches.add(new Breach(
                            timed,
                            sent.upstream() + " got " + sent.attempt() + " " + (timed.timeMillis() - since)
                                    + " ms after it started leaving"));
                }
            }
        }
        return breaches;
    }
}
