package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.cowslipbank.decision.relay.Eligibility;
import org.cowslipbank.decision.relay.FairOrder;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.decision.relay.OldWeightsPolicy;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.model.relay.EngineTraits;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayService;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.SendPlan;

/** Chooses the upstream for the attempts of one request, and plans how the request is sent to it. */
final class RequestPlacement {

    private final RelayContext context;
    private final RelayRequest request;
    private final Target target;
    private final FairOrder.Demand demand;
    private final ToIntFunction<String> reservedTokens;
    private final PartLocations partLocations;
    private final BiFunction<FairOrder.Demand, List<Route>, OptionalDouble> limitWeight;

    private Optional<String> softwareVersion = Optional.empty();
    private boolean probing;
    private boolean reportFailed;
    private CachePlanner planner;

    /**
     * The service that a request goes to, and the team that sent it.
     *
     * @param service the service
     * @param engine properties of its engines, empty for a plain service
     * @param team the client's team, empty on anonymous routes
     * @param mayBeTakenBack true if the request may be sent to another engine while it has not begun
     * @param resumable true if the answer is a stream that its client may take up at any node
     * @param route the request's route
     * @param bodyBytes length of the request's body in bytes
     */
    record Target(
            String service,
            Optional<EngineTraits> engine,
            Optional<RelayTeam> team,
            boolean mayBeTakenBack,
            boolean resumable,
            Route route,
            int bodyBytes) {
        /**
         * Returns the target of the requests of a route and a team.
         *
         * @param routes the configuration
         * @param service the one of the route's services that the request goes to
         * @param team the client's team, empty on anonymous routes
         * @param route the request's route
         * @param bodyBytes length of the request's body in bytes
         * @return the target
         */
        static Target of(RouteTable routes, String service, Optional<RelayTeam> team, Route route, int bodyBytes) {
            return new Target(
                    service,
                    routes.service(service).flatMap(RelayService::engine),
                    team,
                    route.isRepeatable() && route.maxAttempts() > 1,
                    route.isStream() && route.resumable(),
                    route,
                    bodyBytes);
        }
    }

    /**
     * Creates a placement.
     *
     * @param context the node's shared state
     * @param request the request
     * @param target the service and the team
     * @param reservedTokens returns the tokens reserved for this request at an incarnation
     */
    RequestPlacement(RelayContext context, RelayRequest request, Target target, ToIntFunction<String> reservedTokens) {
        this(context, request, target, reservedTokens, context.partLocations(), (demand, routes) -> context.waiting()
                .limitWeight(demand, routes));
    }

    private RequestPlacement(
            RelayContext context,
            RelayRequest request,
            Target target,
            ToIntFunction<String> reservedTokens,
            PartLocations partLocations,
            BiFunction<FairOrder.Demand, List<Route>, OptionalDouble> limitWeight) {
        this.context = context;
        this.request = request;
        this.target = target;
        this.demand = RequestDemand.of(target, request);
        this.reservedTokens = reservedTokens;
        this.partLocations = partLocations;
        this.limitWeight = limitWeight;
    }

    /**
     * Creates a placement of a request that is not sent, so that its choices change nothing that later ones go by.
     *
     * @param context the node's shared state
     * @param request a request as clients send it
     * @param target the service and the team
     * @return a placement to be used in this turn of the event loop
     */
    static RequestPlacement withoutEffects(RelayContext context, RelayRequest request, Target target) {
        return new RequestPlacement(
                context,
                request,
                target,
                incarnation -> 0,
                context.partLocations().forReading(),
                (demand, routes) -> context.waiting().limitWeightToExplain(demand, routes));
    }

    /**
     * Returns the affinity key; requests with the same key prefer the same upstream.
     *
     * @param request the request
     * @return the last shared part of its prompt, or its own id
     */
    static String affinityKey(RelayRequest request) {
        String key = request.prompt().map(PromptShape::affinityKey).orElse("");
        return key.isEmpty() ? request.id() : key;
    }

    /**
     * Returns the service that the request goes to.
     *
     * @return the service's name
     */
    String service() {
        return target.service();
    }

    /**
     * Returns what the request asks for.
     *
     * @return the demand by which waiting requests are ordered
     */
    FairOrder.Demand demand() {
        return demand;
    }

    /**
     * Returns whether the upstreams of the service are engines.
     *
     * @return false for a plain service
     */
    boolean targetsEngines() {
        return target.engine().isPresent();
    }

    /**
     * Returns whether the request goes to engines and describes its prompt, so that the prompt decides the choice.
     *
     * @return false if the requests in flight decide it
     */
    boolean hasPrompt() {
        return targetsEngines() && request.prompt().isPresent();
    }

    /**
     * Lets the request be sent only to upstreams of a software version, because its client has events from one of them.
     *
     * @param version the version
     */
    void requireSoftwareVersion(String version) {
        softwareVersion = Optional.of(version);
    }

    /**
     * Returns the software version to which the request is bound.
     *
     * @return the version, or empty before the client has any event
     */
    Optional<String> requiredSoftwareVersion() {
        return softwareVersion;
    }

    /**
     * Returns whether an upstream of the required software version is registered.
     *
     * @param view the platform
     * @return false if the request cannot be sent at all
     */
    boolean isPossible(PlatformView view) {
        return softwareVersion.isEmpty()
                || !withRequiredVersion(view.activeServers(target.service())).isEmpty();
    }

    /**
     * Returns the upstreams among which every choice is made, so that no attempt of any kind goes to an evacuated data centre.
     *
     * @param view the platform
     * @return those of the required software version outside evacuated data centres
     */
    List<UpstreamServer> usableServers(PlatformView view) {
        return withRequiredVersion(view.usableServers(target.service()));
    }

    private List<UpstreamServer> withRequiredVersion(List<UpstreamServer> servers) {
        return softwareVersion.isEmpty()
                ? servers
                : servers.stream()
                        .filter(server -> server.softwareVersion().equals(softwareVersion.get()))
                        .toList();
    }

    /**
     * Chooses the upstream.
     *
     * @param view the platform
     * @param tried incarnations that are excluded because the request has been sent to them
     * @return the choice, or empty if no upstream is available now
     */
    Optional<UpstreamSelector.Choice> choose(PlatformView view, Set<String> tried) {
        return chooseFrom(usableServers(view), view, candidates(view, tried));
    }

    /**
     * Chooses the upstream as the platform is now.
     *
     * @param tried incarnations that are excluded because the request has been sent to them
     * @return the choice, or empty if no upstream is available now
     */
    Optional<UpstreamSelector.Choice> choose(Set<String> tried) {
        return choose(context.view().get(), tried);
    }

    /**
     * Returns whether the request can wait for capacity alone. Upstreams that pause, load weights, are silent, or are at a
     * limit that they named accept nothing, whatever their capacity.
     *
     * @return true if at least half of the upstreams that may be used accept requests
     */
    boolean mostUpstreamsAccept() {
        PlatformView view = context.view().get();
        List<UpstreamServer> usable = usableServers(view);
        long accepting = usable.stream()
                .filter(server -> !view.switchingEngines().contains(server.id()) && isEligible(view, server))
                .count();
        return accepting > 0 && 2 * accepting >= usable.size();
    }

    /**
     * Chooses the upstream among those that meet a further condition.
     *
     * @param view the platform
     * @param tried incarnations that are excluded because the request has been sent to them
     * @param condition the condition
     * @return the choice, or empty if none of them is available now
     */
    Optional<UpstreamSelector.Choice> chooseAmong(
            PlatformView view, Set<String> tried, Predicate<UpstreamServer> condition) {
        return chooseFrom(usableServers(view).stream().filter(condition).toList(), view, candidates(view, tried));
    }

    /**
     * Chooses the upstream from a list.
     *
     * @param servers the list
     * @param view the platform
     * @param candidates how the upstreams are compared, and which ones are available
     * @return the choice, or empty if none of the list is available now
     */
    Optional<UpstreamSelector.Choice> chooseFrom(
            List<UpstreamServer> servers, PlatformView view, UpstreamSelector.Candidates candidates) {
        if (hasPrompt()) {
            return UpstreamSelector.chooseEngine(choicePrompt(view), servers, isForLargeService(view), candidates);
        }
        String localDataCentre = context.settings().dataCentre();
        return UpstreamSelector.choosePlainServer(affinityKey(request), localDataCentre, servers, candidates)
                .map(UpstreamSelector.Choice::plain);
    }

    /**
     * Chooses an upstream for one of the few requests that a pause allows.
     *
     * @param view the platform
     * @param tried incarnations that are excluded because the request has been sent to them
     * @return the choice, or empty if not all upstreams pause, or none may get a request now
     */
    Optional<UpstreamSelector.Choice> chooseInPause(PlatformView view, Set<String> tried) {
        if (pauseEndMillis(view).isEmpty()) {
            return Optional.empty();
        }
        probing = true;
        try {
            return choose(view, tried);
        } finally {
            probing = false;
        }
    }

    /**
     * Returns when the first upstream takes requests again, if all that may be used have asked for a pause.
     *
     * @param view the platform
     * @return the time in milliseconds, or empty if an upstream takes requests now or none is registered
     */
    OptionalLong pauseEndMillis(PlatformView view) {
        long earliestMillis = Long.MAX_VALUE;
        for (UpstreamServer server : usableServers(view)) {
            if (context.notices().isLeaving(server.incarnation())) {
                continue;
            }
            OptionalLong endMillis = context.notices().pauseEndMillis(server.incarnation(), now());
            if (endMillis.isEmpty()) {
                return OptionalLong.empty();
            }
            earliestMillis = Math.min(earliestMillis, endMillis.getAsLong());
        }
        return earliestMillis == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(earliestMillis);
    }

    /**
     * Returns the engine at which room should be reserved while the request is queued.
     *
     * @param view the platform
     * @param tried incarnations that are excluded because the request has been sent to them
     * @return the engine, or empty if no room should be reserved
     */
    Optional<UpstreamServer> reservationTarget(PlatformView view, Set<String> tried) {
        if (!hasPrompt()) {
            return Optional.empty();
        }
        UpstreamSelector.Candidates candidates =
                candidatesWithoutParts(view, tried, server -> isEligible(view, server));
        return UpstreamSelector.chooseReservation(choicePrompt(view), usableServers(view), candidates);
    }

    /**
     * Returns what a choice needs to know of the prompt.
     *
     * @param view the platform
     * @return the prompt of a request that has one
     */
    UpstreamSelector.Prompt choicePrompt(PlatformView view) {
        PromptShape shape = request.prompt().get();
        int shared = shape.sharedTokens();
        return new UpstreamSelector.Prompt(
                affinityKey(request),
                shared,
                Math.max(0, shape.promptTokens() - shared),
                target.engine().get().capacityTokens(),
                limitWeight(view));
    }

    private OptionalDouble limitWeight(PlatformView view) {
        return view.routes()
                .map(table -> table.configuration().routes())
                .map(routes -> limitWeight.apply(demand, routes))
                .orElse(OptionalDouble.empty());
    }

    private UpstreamSelector.Candidates candidates(PlatformView view, Set<String> tried) {
        return candidates(view, tried, server -> isEligible(view, server));
    }

    /**
     * Returns how the upstreams are compared.
     *
     * @param view the platform
     * @param tried incarnations that are excluded because the request has been sent to them
     * @param available whether an upstream may get the request now
     * @return the comparison for one choice
     */
    UpstreamSelector.Candidates candidates(PlatformView view, Set<String> tried, Predicate<UpstreamServer> available) {
        return hasPrompt() ? engineCandidates(view, tried, available) : candidatesWithoutParts(view, tried, available);
    }

    private UpstreamSelector.Candidates engineCandidates(
            PlatformView view, Set<String> tried, Predicate<UpstreamServer> available) {
        boolean hasShared = request.prompt().get().sharedTokens() > 0;
        Optional<PromptLocations> locations = hasShared ? locations(view) : Optional.empty();
        return candidates(
                view,
                tried,
                available,
                planner().fetchableTokens(view, locations),
                locations.map(PromptLocations::sharedPart).orElse(UpstreamSelector.SharedPart.AT_HOME_ONLY));
    }

    private UpstreamSelector.Candidates candidatesWithoutParts(
            PlatformView view, Set<String> tried, Predicate<UpstreamServer> available) {
        return candidates(view, tried, available, server -> 0, UpstreamSelector.SharedPart.AT_HOME_ONLY);
    }

    private UpstreamSelector.Candidates candidates(
            PlatformView view,
            Set<String> tried,
            Predicate<UpstreamServer> available,
            ToIntFunction<UpstreamServer> fetchableTokens,
            UpstreamSelector.SharedPart sharedPart) {
        context.notices().cold().apply(view.cold(), now());
        return new UpstreamSelector.Candidates(
                tried,
                server -> !view.switchingEngines().contains(server.id()),
                available,
                this::load,
                fetchableTokens,
                server -> oldVersionPenaltyMillis(view, server) + limitPenaltyMillis(server),
                sharedPart);
    }

    /**
     * Returns where the prompt's shared part is. In a small service the home engine is assumed to hold it.
     *
     * @param view the platform
     * @return what the node knows, or empty if the request has no prompt for the engines of a large service
     */
    Optional<PromptLocations> locations(PlatformView view) {
        return isForLargeService(view) ? Optional.of(planner().locations(view)) : Optional.empty();
    }

    private CachePlanner planner() {
        if (planner == null) {
            planner = new CachePlanner(
                    context,
                    request,
                    target,
                    new CachePlanner.Engines(
                            this::versionOf,
                            (view, server) ->
                                    !view.switchingEngines().contains(server.id()) && isEligible(view, server),
                            this::load,
                            partLocations));
        }
        return planner;
    }

    // Digests are older than the duration of a plain request, so they are useless for plain services.
    private FleetLoads.Load load(UpstreamServer server) {
        FleetLoads.Load own = context.loads().inFlight(server.incarnation());
        if (!targetsEngines()) {
            return own;
        }
        FleetLoads.Load reserved = new FleetLoads.Load(0, -reservedTokens.applyAsInt(server.incarnation()), 0);
        return own.plus(reserved).plus(context.fleetLoads().loadAt(server.id()));
    }

    private long oldVersionPenaltyMillis(PlatformView view, UpstreamServer server) {
        return versionAgeIfOld(view, server).stream()
                .map(OldWeightsPolicy::penaltyMillis)
                .findFirst()
                .orElse(0);
    }

    private long limitPenaltyMillis(UpstreamServer server) {
        return context.notices().isLimited(server.incarnation(), now())
                ? UpstreamSelector.limitedPenaltyMillis(
                        promptTokens(), target.engine().get().capacityTokens())
                : 0;
    }

    private boolean isForLargeService(PlatformView view) {
        return hasPrompt() && UpstreamSelector.isLarge(view.activeServers(target.service()));
    }

    private int promptTokens() {
        return request.prompt().map(PromptShape::promptTokens).orElse(0);
    }

    private boolean isEligible(PlatformView view, UpstreamServer server) {
        return eligibility(view, server).isEligible();
    }

    /**
     * Returns whether one of the usable upstreams may get the request now.
     *
     * @param view the platform
     * @param server the upstream
     * @return eligible, or the first reason why not
     */
    Eligibility eligibility(PlatformView view, UpstreamServer server) {
        if (hasTooOldWeights(view, server)) {
            return Eligibility.OLD_WEIGHTS;
        }
        if (!mayBeginAt(server)) {
            return Eligibility.SOFTWARE_VERSION_NOT_RECORDED;
        }
        if (isReportedElsewhere(server)) {
            return Eligibility.OTHER_VERSION_REPORTED;
        }
        if (!context.held().bytes().fitsAt(server.address(), target.bodyBytes())) {
            return Eligibility.UNREAD_BODIES;
        }
        Eligibility byNotices = byNotices(server);
        if (!byNotices.isEligible()) {
            return byNotices;
        }
        if (!hasBrittleShare(server)) {
            return Eligibility.BRITTLE;
        }
        return context.loads().eligibility(server.incarnation(), context.turns().lastReadMillis());
    }

    private boolean hasTooOldWeights(PlatformView view, UpstreamServer server) {
        long boundMillis = context.settings().bounds().versionMillis();
        return versionAgeIfOld(view, server).stream()
                .anyMatch(ageMillis -> OldWeightsPolicy.isExcluded(ageMillis, boundMillis, target.mayBeTakenBack()));
    }

    private Eligibility byNotices(UpstreamServer server) {
        if (!probing) {
            return context.notices().eligibility(server.incarnation(), now());
        }
        return context.notices().mayProbe(server.incarnation(), now()) ? Eligibility.ELIGIBLE : Eligibility.PAUSED;
    }

    private boolean hasBrittleShare(UpstreamServer server) {
        return context.notices()
                .brittle()
                .maySend(
                        server,
                        context.loads().inFlight(server.incarnation()).requests(),
                        context.clocks().now());
    }

    private boolean mayBeginAt(UpstreamServer server) {
        return !target.resumable()
                || softwareVersion.isPresent()
                || context.origins().versions().mayBegin(target.service(), server.softwareVersion());
    }

    /** Returns whether a client could get the first event of an upstream only after a report that the store does not take. */
    private boolean isReportedElsewhere(UpstreamServer server) {
        return awaitsNoReport() && !context.originReports().allows(request.id(), server.softwareVersion());
    }

    private boolean awaitsNoReport() {
        return target.resumable()
                && softwareVersion.isEmpty()
                && (reportFailed || !context.canConfirm().getAsBoolean());
    }

    /**
     * Lets the request be sent only to upstreams whose first event needs no report, because the store has not taken one. None is
     * left once a report of a second version may have been stored.
     */
    void keepToReportedVersion() {
        reportFailed = true;
    }

    /**
     * Returns whether an upstream is left whose first event the client may get.
     *
     * @param view the platform
     * @param tried incarnations to which the request has been sent
     * @return false if the store, which does not answer, may hold a report of the request that nobody would replace
     */
    boolean isReportable(PlatformView view, Set<String> tried) {
        if (!awaitsNoReport()) {
            return true;
        }
        List<UpstreamServer> active = view.activeServers(target.service());
        return active.stream().anyMatch(server -> !tried.contains(server.incarnation()) && !isReportedElsewhere(server))
                || active.stream().noneMatch(this::isReportedElsewhere);
    }

    /**
     * Returns whether an engine's silence is shared by most engines, so that it is no reason to move the request. Requests
     * of plain servers are short, and a second run costs less than the wait.
     *
     * @param view the platform
     * @param server the engine
     * @param nowMillis the time in milliseconds up to which the sockets were read
     * @return false for a plain server
     */
    boolean isSilentWithOthers(PlatformView view, UpstreamServer server, long nowMillis) {
        if (!targetsEngines()) {
            return false;
        }
        List<String> incarnations = view.activeServers(target.service()).stream()
                .map(UpstreamServer::incarnation)
                .toList();
        return context.loads().isSilentWithOthers(server.incarnation(), incarnations, nowMillis);
    }

    /**
     * Returns whether the request must not begin at an engine any more, because its weights are too old.
     *
     * @param view the platform
     * @param server the engine
     * @return true shortly before the bound of the earliest newer version, and after it
     */
    boolean isTooOldToBegin(PlatformView view, UpstreamServer server) {
        long boundMillis = context.settings().bounds().versionMillis();
        return versionAgeIfOld(view, server).stream()
                .anyMatch(ageMillis -> OldWeightsPolicy.isTakenBack(ageMillis, boundMillis));
    }

    /** Returns how long ago the first newer version was named, in milliseconds; empty if the engine is up to date. */
    private OptionalLong versionAgeIfOld(PlatformView view, UpstreamServer server) {
        OptionalLong sinceMillis = namedVersions(view)
                .map(names -> names.outdatedSinceMillis(versionOf(server).orElse(0)))
                .orElse(OptionalLong.empty());
        return sinceMillis.isEmpty() ? sinceMillis : OptionalLong.of(now() - sinceMillis.getAsLong());
    }

    /**
     * Returns the weight versions that the operators have named for the prompt's model.
     *
     * @param view the platform
     * @return the versions, or empty if none was named
     */
    Optional<NamedVersions> namedVersions(PlatformView view) {
        return request.prompt().map(prompt -> view.versions().get(prompt.model()));
    }

    /**
     * Returns the weight version of the prompt's model that an engine is known to have loaded.
     *
     * @param server the engine
     * @return the version, or empty if it is not known or the request has no prompt
     */
    OptionalLong versionOf(UpstreamServer server) {
        if (!hasPrompt()) {
            return OptionalLong.empty();
        }
        long seen = context.loads().weightVersion(server.incarnation());
        Long registered = server.versionByModel().get(request.prompt().get().model());
        long version = Math.max(seen, registered == null ? 0 : registered);
        return version == 0 ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /**
     * Plans the send to an upstream, and records in the cache index which parts the engine will save.
     *
     * @param server the upstream
     * @param leftMillis time until the request's deadline, in milliseconds
     * @param resumeAfter identifier of the last event that the client has, empty at the beginning
     * @return the plan
     */
    SendPlan planSend(UpstreamServer server, long leftMillis, Optional<String> resumeAfter) {
        // One reading of the clocks, before the check: else a pause after the check would lengthen the fetch.
        LeaderLease.ClockReading now = context.clocks().now();
        boolean confirmed = context.isConfirmed(now);
        CachePlanner.Planned cache = planner().plan(server, now, confirmed);
        return new SendPlan(
                server.id(),
                leftMillis,
                target.team().map(RelayTeam::name),
                demand.priority(),
                versionOf(server),
                cache.scope(),
                cache.plan().fetchFrom(),
                cache.fetchUntilMillis(),
                cache.plan().saveTo(),
                resumeAfter);
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
