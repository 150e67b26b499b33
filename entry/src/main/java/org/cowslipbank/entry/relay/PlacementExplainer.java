package org.cowslipbank.entry.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import org.cowslipbank.decision.relay.Eligibility;
import org.cowslipbank.decision.relay.ForwardingNodes;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * States where a request would go now and why, by the decisions of real placements. Sends and records nothing. Runs on the
 * traffic thread.
 */
final class PlacementExplainer {
    private static final Comparator<UpstreamSelector.Compared> EXCLUDED_LAST = Comparator.comparing(
                    (UpstreamSelector.Compared compared) ->
                            !compared.eligibility().isEligible())
            .thenComparingLong(compared -> compared.expectedMillis().orElse(0))
            .thenComparing(compared -> compared.server().id());

    private final RelayContext context;

    PlacementExplainer(RelayContext context) {
        this.context = context;
    }

    /** A request of which the route, the team and the service are known. */
    private record Resolved(Route route, Optional<RelayTeam> team, boolean needsKey, ExplainedPlacement explained) {}

    /**
     * Explains where a request would go.
     *
     * @param query the request
     * @return the explanation, without keys and content of prompts; empty before the node has read a configuration
     */
    Optional<ObjectNode> explain(ExplainQuery query) {
        boolean confirmed = context.isConfirmed();
        PlatformView view = context.view().get();
        if (view.routes().isEmpty()) {
            return Optional.empty();
        }
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        answer.put("storeRevision", view.revision());
        answer.put("configurationConfirmed", confirmed);
        resolve(query, view.routes().get(), answer)
                .ifPresent(resolved -> describe(resolved, query.request(), view, confirmed, answer));
        return Optional.of(answer);
    }

    private Optional<Resolved> resolve(ExplainQuery query, RouteTable routes, ObjectNode answer) {
        List<Route> found = findRoutes(routes, query.request());
        if (found.size() != 1) {
            answer.put("reason", found.isEmpty() ? RefusalReasons.NO_ROUTE : "several_hosts");
            return Optional.empty();
        }
        Route route = found.get(0);
        answer.put("route", route.name());
        boolean needsKey = !route.anonymous() && routes.requiresKeys();
        Optional<RelayTeam> team = query.team()
                .filter(name -> needsKey)
                .flatMap(name -> routes.configuration().teams().stream()
                        .filter(known -> known.name().equals(name))
                        .findFirst());
        // Without a named team any of the configuration will do, if it has one.
        boolean anyTeam =
                query.team().isEmpty() && !routes.configuration().teams().isEmpty();
        if (needsKey && team.isEmpty() && !anyTeam) {
            answer.put("reason", "unknown_team");
            return Optional.empty();
        }
        Optional<String> service = RouteTable.chooseService(route, RequestPlacement.affinityKey(query.request()));
        if (service.isEmpty()) {
            answer.put("reason", RefusalReasons.NO_SERVICE);
            return Optional.empty();
        }
        ExplainedPlacement explained = new ExplainedPlacement(
                context, query.request(), RequestPlacement.Target.of(routes, service.get(), team, route, 0));
        query.softwareVersion().ifPresent(explained.placement()::requireSoftwareVersion);
        return Optional.of(new Resolved(route, team, needsKey, explained));
    }

    /** Returns the route of a request; without a host, those of all hosts. */
    private static List<Route> findRoutes(RouteTable routes, RelayRequest request) {
        if (!request.host().isEmpty()) {
            return routes.route(request.host(), request.path()).stream().toList();
        }
        return routes.configuration().routes().stream()
                .map(Route::host)
                .distinct()
                .flatMap(host -> routes.route(host, request.path()).stream())
                .toList();
    }

    private void describe(
            Resolved resolved, RelayRequest request, PlatformView view, boolean confirmed, ObjectNode answer) {
        RequestPlacement placement = resolved.explained().placement();
        answer.put("service", placement.service());
        resolved.team().ifPresent(team -> answer.put("team", team.name()));
        answer.put("priority", placement.demand().priority());
        answer.put("waiting", context.waiting().size(placement.service()));
        ExplainedPlacement.Outlook outlook = resolved.explained().explain(view);
        boolean cutOff = context.reachability().isCutOff();
        Optional<ForwardingNodes.Node> node = cutOff
                ? context.forwarding().choose(Set.of(), RequestPlacement.affinityKey(request))
                : Optional.empty();
        Optional<String> refusal = refusal(resolved, request, view, confirmed);
        if (refusal.isPresent()) {
            answer.put("reason", refusal.get());
        } else if (context.waiting().hasMoreUrgent(placement.demand())) {
            answer.putArray("waitsFor").add("more_urgent_requests");
        } else if (node.isPresent()) {
            answer.put("passedTo", node.get().name());
        } else if (cutOff && !context.reachability().hasContact(now())) {
            answer.put("reason", RefusalReasons.NO_REACHABLE_UPSTREAM);
        } else if (outlook.choice().isPresent()) {
            addChoice(answer.putObject("choice"), outlook.choice().get(), outlook.inPause(), placement);
        } else {
            addReasonsToWait(answer.putArray("waitsFor"), outlook.upstreams());
            placement.pauseEndMillis(view).ifPresent(end -> answer.put("pauseLeftMillis", end - now()));
        }
        ArrayNode upstreams = answer.putArray("upstreams");
        outlook.upstreams().stream()
                .sorted(EXCLUDED_LAST)
                .forEach(compared -> addUpstream(upstreams.addObject(), compared));
    }

    /** Returns why the request would be refused at once, empty if it would be sent or wait. */
    private Optional<String> refusal(Resolved resolved, RelayRequest request, PlatformView view, boolean confirmed) {
        boolean outdated = !context.isConfigurationRecent() && context.mustAwaitNewest(true);
        if (outdated || resolved.needsKey() && !confirmed) {
            return Optional.of(RefusalReasons.CONFIGURATION_UNCONFIRMED);
        }
        // The body is not known, so of the request as a whole this says something only if it has none.
        TeamId team = new TeamId(resolved.team().map(RelayTeam::name).orElse(Exchange.ANONYMOUS_TEAM));
        if (new RequestSuspects(context, request, team, Unpooled.EMPTY_BUFFER).wouldBeRefused(view)) {
            return Optional.of(RefusalReasons.CRASHED_UPSTREAMS);
        }
        if (!context.stop().mayServe(resolved.route(), now() + resolved.route().timeoutMillis())) {
            return Optional.of(RefusalReasons.NODE_STOPPING);
        }
        return resolved.explained().placement().isPossible(view)
                ? Optional.empty()
                : Optional.of(RefusalReasons.VERSION_GONE);
    }

    private static void addChoice(
            ObjectNode entry, UpstreamSelector.Choice choice, boolean inPause, RequestPlacement placement) {
        entry.put("upstream", choice.server().id());
        entry.put("address", choice.server().address());
        entry.put("dataCentre", choice.server().dataCentre());
        if (placement.hasPrompt()) {
            entry.put("expectedMillis", choice.expectedMillis());
            entry.put("rank", choice.rank());
            entry.put("holdsShared", choice.holdsShared());
            entry.put("storedTokens", choice.storedTokens());
        }
        entry.put("inPause", inPause);
    }

    /** Adds the reasons of exclusion, those of the most upstreams first. */
    private static void addReasonsToWait(ArrayNode reasons, List<UpstreamSelector.Compared> upstreams) {
        Map<Eligibility, Integer> counts = new HashMap<>();
        upstreams.forEach(compared -> counts.merge(compared.eligibility(), 1, Integer::sum));
        if (counts.isEmpty()) {
            reasons.add("no_upstream");
        }
        counts.entrySet().stream()
                .sorted(Map.Entry.<Eligibility, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .forEach(entry -> reasons.add(entry.getKey().code()));
    }

    private static void addUpstream(ObjectNode entry, UpstreamSelector.Compared compared) {
        entry.put("upstream", compared.server().id());
        entry.put("address", compared.server().address());
        entry.put("dataCentre", compared.server().dataCentre());
        compared.expectedMillis().ifPresent(millis -> entry.put("expectedMillis", millis));
        entry.put("requests", compared.load().requests());
        if (!compared.eligibility().isEligible()) {
            entry.put("excluded", compared.eligibility().code());
        }
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
