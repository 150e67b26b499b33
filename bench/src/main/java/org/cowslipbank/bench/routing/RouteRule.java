package org.cowslipbank.bench.routing;

import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;

/** How a policy chooses an upstream and a split point. */
@FunctionalInterface
interface RouteRule {
    /**
     * Chooses.
     *
     * @param input what the node knows
     * @param sessionKey key of the session
     * @return the choice
     */
    RoutingOutcome route(RoutingInput input, String sessionKey);
}
