package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.OldVersions;
import org.cowslipbank.decision.relay.UpstreamChoice;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.EngineTraits;
import org.cowslipbank.model.relay.NamedVersion;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.SendPlan;

/** Brings together what the choice of an upstream needs to know of one request, and plans the send. */
final class RequestPlacement {
    private static final int LAST_PRIORITY = 9;

    private final RelayContext context;
    private final RelayRequest request;
    private final Target target;
    private final ToIntFunction<String> booked;

    /**
     * Where a request goes, and for whom.
     *
     * @param service the service
     * @param engine traits of its engines, empty for a plain service
     * @param team the client's team, empty on anonymous routes
     */
    record Target(String service, Optional<EngineTraits> engine, Optional<RelayTeam> team) {}

    /**
     * Creates a placement.
     *
     * @param context what the node knows
     * @param request the request
     * @param target where it goes
     * @param booked tells for how many tokens of this request an incarnation keeps room
     */
    RequestPlacement(RelayContext context, RelayRequest request, Target target, ToIntFunction<String> booked) {
        this.context = context;
        this.request = request;
        this.target = target;
        this.booked = booked;
    }

    /**
     * Returns the key by which requests are placed together.
     *
     * @param request the request
     * @return the last shared part of its prompt, or its own id
     */
    static String affinityKey(RelayRequest request) {
        String key = request.prompt().map(PromptShape::affinityKey).orElse("");
        return key.isEmpty() ? request.id() : key;
    }

    /**
     * Tells whether the service has engines.
     *
     * @return false for a plain service
     */
    boolean isAtEngines() {
        return target.engine().isPresent();
    }

    /** Tells whether the request describes its prompt, so that it is placed by it. */
    private boolean isPrompt() {
        return isAtEngines() && request.prompt().isPresent();
    }

    /**
     * Chooses the upstream.
     *
     * @param view the platform
     * @param tried incarnations that the request has been sent to
     * @return the choice, or empty if the request waits
     */
    Optional<UpstreamChoice.Choice> choose(PlatformView view, Set<String> tried) {
        List<UpstreamServer> servers = view.serving(target.service());
        UpstreamChoice.Candidates candidates = candidates(view, tried);
        if (isPrompt()) {
            return UpstreamChoice.engine(prompt(), servers, candidates);
        }
        String near = context.settings().dataCentre();
        return UpstreamChoice.plain(affinityKey(request), near, servers, candidates)
                .map(UpstreamChoice.Choice::plain);
    }

    /**
     * Returns the engine at which room is kept while the request waits.
     *
     * @param view the platform
     * @param tried incarnations that the request has been sent to
     * @return the engine, or empty if none should be
     */
    Optional<UpstreamServer> booking(PlatformView view, Set<String> tried) {
        return isPrompt()
                ? UpstreamChoice.booking(prompt(), view.serving(target.service()), candidates(view, tried))
                : Optional.empty();
    }

    private UpstreamChoice.Prompt prompt() {
        PromptShape shape = request.prompt().get();
        int shared = shape.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
        return new UpstreamChoice.Prompt(
                affinityKey(request),
                shared,
                Math.max(0, shape.promptTokens() - shared),
                target.engine().get().capacityTokens());
    }

    private UpstreamChoice.Candidates candidates(PlatformView view, Set<String> tried) {
        return new UpstreamChoice.Candidates(
                tried,
                server -> !view.switching().contains(server.id()),
                server -> isOpen(view, server),
                this::load,
                server -> storedTokens(view, server),
                server -> oldVersionMillis(view, server));
    }

    // Digests are older than a plain request lasts, so they tell nothing of plain servers.
    private FleetLoads.Load load(UpstreamServer server) {
        FleetLoads.Load own = context.loads().inFlight(server.incarnation());
        if (!isAtEngines()) {
            return own;
        }
        FleetLoads.Load kept = new FleetLoads.Load(0, -booked.applyAsInt(server.incarnation()), 0);
        return own.plus(kept).plus(context.fleetLoads().at(server.id()));
    }

    private int storedTokens(PlatformView view, UpstreamServer server) {
        Optional<String> scope = scope(versionOf(server));
        if (scope.isEmpty()) {
            return 0;
        }
        List<PromptPart> parts = request.prompt().get().parts();
        return context.directory().storedTokens(scope.get(), parts, stores(view), now());
    }

    private long oldVersionMillis(PlatformView view, UpstreamServer server) {
        return versionAgeIfOld(view, server).stream()
                .map(OldVersions::penaltyMillis)
                .findFirst()
                .orElse(0);
    }

    private boolean isOpen(PlatformView view, UpstreamServer server) {
        long boundMillis = context.settings().bounds().versionMillis();
        boolean closed = versionAgeIfOld(view, server).stream()
                .anyMatch(ageMillis -> OldVersions.isClosed(ageMillis, boundMillis));
        return !closed && context.loads().isAvailable(server.incarnation(), now());
    }

    /** Returns the age of the named version in milliseconds if the engine does not have it. */
    private OptionalLong versionAgeIfOld(PlatformView view, UpstreamServer server) {
        Optional<NamedVersion> named = namedVersion(view);
        if (named.isEmpty() || versionOf(server).orElse(0) >= named.get().version()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(now() - named.get().seenAtMillis());
    }

    /**
     * Returns the weight version that operators named for the prompt's model.
     *
     * @param view the platform
     * @return the version, or empty if none was named
     */
    Optional<NamedVersion> namedVersion(PlatformView view) {
        return request.prompt().map(prompt -> view.versions().get(prompt.model()));
    }

    /**
     * Returns the weight version that an engine is known to have.
     *
     * @param server the engine
     * @return the version, or empty if it is not known or the request is no prompt
     */
    OptionalLong versionOf(UpstreamServer server) {
        if (!isPrompt()) {
            return OptionalLong.empty();
        }
        long seen = context.loads().weightVersion(server.incarnation());
        Long registered = server.versionByModel().get(request.prompt().get().model());
        long version = Math.max(seen, registered == null ? 0 : registered);
        return version == 0 ? OptionalLong.empty() : OptionalLong.of(version);
    }

    private Optional<String> scope(OptionalLong version) {
        if (version.isEmpty()) {
            return Optional.empty();
        }
        String wall =
                target.team().filter(RelayTeam::isolated).map(RelayTeam::name).orElse("");
        return Optional.of(CacheScope.of(request.prompt().get().model(), version.getAsLong(), wall));
    }

    private static List<CacheStore> stores(PlatformView view) {
        return view.routes().map(routes -> routes.configuration().stores()).orElse(List.of());
    }

    /**
     * Plans the send to an upstream, and notes which parts it will save.
     *
     * @param view the platform
     * @param server the upstream
     * @param leftMillis how long it may work, in milliseconds
     * @param routePriority the route's rank
     * @param resumeAfter the last event that the client has
     * @return the plan
     */
    SendPlan plan(
            PlatformView view,
            UpstreamServer server,
            long leftMillis,
            int routePriority,
            Optional<String> resumeAfter) {
        OptionalLong version = versionOf(server);
        Optional<String> scope = scope(version);
        CacheDirectory.Plan cache =
                scope.map(name -> cachePlan(view, name)).orElse(new CacheDirectory.Plan(List.of(), List.of()));
        OptionalInt teamPriority = target.team().map(RelayTeam::priority).orElse(OptionalInt.empty());
        int priority = teamPriority.orElse(routePriority);
        return new SendPlan(
                server.id(),
                leftMillis,
                target.team().map(RelayTeam::name),
                Math.min(LAST_PRIORITY, Math.max(0, priority)),
                version,
                scope,
                cache.fetchFrom(),
                context.directory().fetchUntilMillis(now()),
                cache.saveTo(),
                resumeAfter);
    }

    private CacheDirectory.Plan cachePlan(PlatformView view, String scope) {
        List<PromptPart> parts = request.prompt().get().parts();
        CacheDirectory.Plan plan = context.directory().plan(scope, parts, stores(view), now());
        context.directory().onSent(scope, parts, plan, now());
        return plan;
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
