package org.cowslipbank.entry.relay;

import java.util.OptionalInt;

import org.cowslipbank.decision.relay.CapacityMisses;
import org.cowslipbank.decision.relay.FairOrder;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.ports.relay.RelayRequest;

/** States what a request asks for, as the queues of waiting requests need it. */
final class RequestDemand {
    private static final int LOWEST_PRIORITY = 9;

    private RequestDemand() {}

    /**
     * Returns what a request asks for.
     *
     * @param target the service, the route and the team; the team's priority takes precedence over the route's
     * @param request the request
     * @return the service, kind, team, priority and cost by which waiting requests are ordered
     */
    static FairOrder.Demand of(RequestPlacement.Target target, RelayRequest request) {
        OptionalInt teamPriority = target.team().map(RelayTeam::priority).orElse(OptionalInt.empty());
        int priority = teamPriority.orElse(target.route().priority());
        int promptTokens = request.prompt().map(PromptShape::promptTokens).orElse(0);
        return new FairOrder.Demand(
                target.service(),
                target.route().name(),
                target.team().map(RelayTeam::name).orElse(""),
                Math.min(LOWEST_PRIORITY, Math.max(0, priority)),
                target.engine().isPresent() ? Math.max(1, promptTokens) : 1);
    }

    /**
     * Returns which requests may use the same upstreams up to the same limits as a request has before its first attempt.
     *
     * @param demand what the request asks for
     * @param request the request
     * @return the class
     */
    static CapacityMisses.SizeClass sizeClass(FairOrder.Demand demand, RelayRequest request) {
        return new CapacityMisses.SizeClass(
                demand.service(),
                demand.kind(),
                demand.priority(),
                request.prompt().map(PromptShape::model).orElse(""));
    }
}
