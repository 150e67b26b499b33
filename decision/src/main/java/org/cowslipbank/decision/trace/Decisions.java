package org.cowslipbank.decision.trace;

import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.NodeLoad;
import org.cowslipbank.decision.admission.TeamShares;
import org.cowslipbank.decision.claims.ClaimLookup;
import org.cowslipbank.decision.configuration.ServingState;
import org.cowslipbank.decision.entries.DutyAssignment;
import org.cowslipbank.decision.entries.EndpointLookup;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.rollout.RolloutMachine;
import org.cowslipbank.decision.routing.FetchDecision;
import org.cowslipbank.decision.routing.PrefetchDecision;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.streams.StreamMachine;
import org.cowslipbank.decision.suspects.SuspectFacts;

/** Registry of all decisions that can be recorded and replayed. */
public final class Decisions {
    private static final List<Decision<?, ?>> ALL = List.of(
            Capacity.DECISION,
            ClaimLookup.DECISION,
            DutyAssignment.DECISION,
            EndpointLookup.DECISION,
            RetentionDecision.EVICT,
            RetentionDecision.EXPORT,
            NodeLoad.DECISION,
            RolloutMachine.DECISION,
            FetchDecision.OVERTAKE,
            PrefetchDecision.PREFETCH,
            RetryPolicy.DECISION,
            RoutingDecision.ROUTE,
            StreamMachine.DECISION,
            ServingState.DECISION,
            SuspectFacts.DECISION,
            TeamShares.DECISION);

    private Decisions() {}

    /**
     * Returns all registered decisions.
     *
     * @return the decisions
     */
    public static List<Decision<?, ?>> all() {
        return ALL;
    }

    /**
     * Finds a decision by its name in a trace.
     *
     * @param kind the name, such as {@code route}
     * @return the decision, or empty if the name is unknown
     */
    public static Optional<Decision<?, ?>> find(String kind) {
        return ALL.stream().filter(decision -> decision.kind().equals(kind)).findFirst();
    }
}
