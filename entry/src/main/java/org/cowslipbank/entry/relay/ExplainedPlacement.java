package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.cowslipbank.decision.relay.Eligibility;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * States what the placement of a request would do now, and how it sees each upstream of the service. The request is not sent.
 * To be used in one turn of the event loop.
 */
final class ExplainedPlacement {
    private final RequestPlacement placement;

    /**
     * What a placement would do now.
     *
     * @param choice the upstream that the request would be sent to, empty if it would wait
     * @param inPause true if the choice is one of the few requests that a pause of all upstreams allows
     * @param upstreams all registered upstreams of the service
     */
    record Outlook(
            Optional<UpstreamSelector.Choice> choice, boolean inPause, List<UpstreamSelector.Compared> upstreams) {}

    /**
     * Creates an explained placement.
     *
     * @param context the node's shared state
     * @param request a request as clients send it
     * @param target the service and the team
     */
    ExplainedPlacement(RelayContext context, RelayRequest request, RequestPlacement.Target target) {
        this.placement = RequestPlacement.withoutEffects(context, request, target);
    }

    /**
     * Returns the placement that is explained.
     *
     * @return a placement whose choices change nothing that later ones go by
     */
    RequestPlacement placement() {
        return placement;
    }

    /**
     * States what the placement would do now, and how it sees each upstream of the service.
     *
     * @param view the platform
     * @return the choice and the upstreams
     */
    Outlook explain(PlatformView view) {
        List<UpstreamServer> usable = placement.usableServers(view);
        Set<String> inUse = usable.stream().map(UpstreamServer::id).collect(Collectors.toSet());
        // Each upstream is asked once, since a reason that ends meanwhile would contradict the choice.
        Map<String, Eligibility> asked = new HashMap<>();
        Function<UpstreamServer, Eligibility> eligibility = server -> asked.computeIfAbsent(
                server.id(),
                id -> inUse.contains(id) ? placement.eligibility(view, server) : reasonNotInUse(view, server));
        UpstreamSelector.Candidates candidates = placement.candidates(
                view, Set.of(), server -> eligibility.apply(server).isEligible());
        Optional<UpstreamSelector.Choice> choice = placement.chooseFrom(usable, view, candidates);
        Optional<UpstreamSelector.Choice> inPause =
                choice.isPresent() ? Optional.empty() : placement.chooseInPause(view, Set.of());
        List<UpstreamServer> registered = view.servers().values().stream()
                .filter(server -> server.service().equals(placement.service()))
                .toList();
        Optional<UpstreamSelector.Prompt> prompt =
                placement.hasPrompt() ? Optional.of(placement.choicePrompt(view)) : Optional.empty();
        return new Outlook(
                choice.or(() -> inPause),
                inPause.isPresent(),
                UpstreamSelector.compare(prompt, registered, usable, candidates, eligibility));
    }

    /** Returns by which of the steps that lead to the usable upstreams a registered one was left out. */
    private Eligibility reasonNotInUse(PlatformView view, UpstreamServer server) {
        if (view.usableServers(placement.service()).contains(server)) {
            return Eligibility.OTHER_SOFTWARE_VERSION;
        }
        if (view.activeServers(placement.service()).contains(server)) {
            return Eligibility.EVACUATED;
        }
        return server.draining() ? Eligibility.DRAINING : Eligibility.REPLACED;
    }
}
