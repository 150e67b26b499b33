package org.cowslipbank.bench.routing;

import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;

/** Chooses the upstream of a request and the blocks that are fetched for it. */
@FunctionalInterface
interface RouteRule {
    /**
     * Routes a request.
     *
     * @param input candidates, links and retained blocks as the node sees them
     * @param sessionKey key of the session
     * @return the chosen upstream and the blocks to fetch
     */
    RoutingOutcome route(RoutingInput input, String sessionKey);
}
