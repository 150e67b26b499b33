package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.ToIntFunction;

import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.decision.relay.CacheSharing;
import org.cowslipbank.decision.relay.FetchSources;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.EngineTraits;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * Plans from where an engine fetches the parts of one request's prompt and to which store it saves them. Runs on the traffic
 * thread.
 */
final class CachePlanner {
    private static final CacheIndex.Plan NO_CACHE = new CacheIndex.Plan(List.of(), List.of());

    private final RelayContext context;
    private final RelayRequest request;
    private final RequestPlacement.Target target;
    private final Engines engines;

    /**
     * What is known of the service's engines.
     *
     * @param versionOf weight version of the prompt's model at an engine, empty if not known
     * @param isUsable true for an engine that could get a request now, and is not about to load weights
     * @param load load of all nodes in flight at an engine
     * @param partLocations engines that probably hold shared parts
     */
    record Engines(
            Function<UpstreamServer, OptionalLong> versionOf,
            BiPredicate<PlatformView, UpstreamServer> isUsable,
            Function<UpstreamServer, FleetLoads.Load> load,
            PartLocations partLocations) {}

    /** Finds the engines of a weight version that may hold the shared part, among those that take new work. */
    private interface Holders {
        List<UpstreamServer> find(List<UpstreamServer> engines, OptionalLong version);
    }

    /**
     * Scope of a request's cached parts.
     *
     * @param model the model
     * @param version its weight version
     * @param group the group of teams that share parts
     */
    private record Scope(String model, long version, String group) {
        String name() {
            return CacheScope.of(model, version, group);
        }

        boolean mayFetch(PlatformView view, long nowMillis) {
            return view.scopeUse().mayFetch(model, version, group, nowMillis);
        }
    }

    /**
     * What a send names.
     *
     * @param scope the cache scope, empty without a known weight version
     * @param plan sources and stores of the parts
     * @param fetchUntilMillis deadline of the fetch on the upstreams' clock in milliseconds, empty if nothing is fetched
     */
    record Planned(Optional<String> scope, CacheIndex.Plan plan, OptionalLong fetchUntilMillis) {}

    CachePlanner(RelayContext context, RelayRequest request, RequestPlacement.Target target, Engines engines) {
        this.context = context;
        this.request = request;
        this.target = target;
        this.engines = engines;
    }

    /**
     * Returns the cache scope of the request at engines of a weight version.
     *
     * @param view the platform
     * @param version the weight version
     * @return the scope, empty without a version
     */
    Optional<String> scopeName(PlatformView view, OptionalLong version) {
        return scope(view, version).map(Scope::name);
    }

    private Optional<Scope> scope(PlatformView view, OptionalLong version) {
        if (version.isEmpty()) {
            return Optional.empty();
        }
        String group = view.routes()
                .map(RouteTable::sharing)
                .orElse(CacheSharing.NONE_ISOLATED)
                .groupOf(target.team());
        return Optional.of(new Scope(request.prompt().get().model(), version.getAsLong(), group));
    }

    private static List<CacheStore> stores(PlatformView view) {
        return view.routes().map(routes -> routes.configuration().stores()).orElse(List.of());
    }

    /**
     * Returns where the prompt's shared part is.
     *
     * @param view the platform
     * @return what the node knows
     */
    PromptLocations locations(PlatformView view) {
        return new PromptLocations(
                engines.partLocations(),
                context.clocks(),
                request.prompt().get(),
                new PromptLocations.Versions(engines.versionOf(), version -> scopeName(view, version)));
    }

    /**
     * Returns how many shared tokens each engine can fetch, for one choice.
     *
     * @param view the platform
     * @param locations where the shared part is, empty in a small service, where nothing is fetched from engines
     * @return the tokens, from stores and from other engines
     */
    ToIntFunction<UpstreamServer> fetchableTokens(PlatformView view, Optional<PromptLocations> locations) {
        // Most engines have the same version, so that the cache index is asked once.
        Map<OptionalLong, Integer> storedByVersion = new HashMap<>();
        Map<OptionalLong, List<UpstreamServer>> sourcesByVersion = new HashMap<>();
        int sharedTokens = request.prompt().get().sharedTokens();
        return server -> {
            OptionalLong version = engines.versionOf().apply(server);
            int storedTokens = storedByVersion.computeIfAbsent(version, known -> storedTokens(view, known));
            if (storedTokens >= sharedTokens || locations.isEmpty() || !mayMove(view, sharedTokens)) {
                return storedTokens;
            }
            List<UpstreamServer> sources = sourcesByVersion.computeIfAbsent(
                    version, known -> engineSources(view, known, locations.get()::holders));
            return engineSource(server, sources).isPresent() ? sharedTokens : storedTokens;
        };
    }

    private int storedTokens(PlatformView view, OptionalLong version) {
        Optional<Scope> scope = scope(view, version).filter(known -> known.mayFetch(view, now()));
        if (scope.isEmpty()) {
            return 0;
        }
        List<PromptPart> parts = request.prompt().get().parts();
        return context.cacheIndex().storedTokens(scope.get().name(), parts, stores(view), now());
    }

    /** Without a clock a fetch would have no deadline, and could outlast what the configuration allows. */
    private boolean mayMove(PlatformView view, int sharedTokens) {
        return UpstreamSelector.isLarge(view.activeServers(target.service()))
                && target.engine().filter(EngineTraits::moves).isPresent()
                && FetchSources.isWorthFetching(sharedTokens)
                && context.cacheIndex().anyUpstreamClockMillis(now()).isPresent();
    }

    /** Returns the engines from which those of a weight version may fetch the shared part. */
    private List<UpstreamServer> engineSources(PlatformView view, OptionalLong version, Holders holders) {
        Optional<Scope> scope = scope(view, version)
                .filter(known -> view.scopeUse().usesGroup(known.group()))
                .filter(known -> known.mayFetch(view, now()));
        return scope.isEmpty()
                ? List.of()
                : holders.find(view.usableServers(target.service()), version).stream()
                        .filter(holder -> engines.isUsable().test(view, holder))
                        .toList();
    }

    private Optional<UpstreamServer> engineSource(UpstreamServer server, List<UpstreamServer> sources) {
        return FetchSources.choose(server, sources, target.engine().get(), source -> engines.load()
                .apply(source)
                .requests());
    }

    /**
     * Plans the send to an upstream, and records in the cache index which parts the engine will save.
     *
     * @param server the upstream
     * @param now the time, read before the check that the configuration is confirmed; a pause between the two would lengthen
     *     the fetch
     * @param confirmed whether the configuration was confirmed then
     * @return the plan
     */
    Planned plan(UpstreamServer server, LeaderLease.ClockReading now, boolean confirmed) {
        PlatformView view = context.view().get();
        OptionalLong version = engines.versionOf().apply(server);
        Optional<Scope> scope = scope(view, version);
        context.cacheIndex().onClocksRead(now);
        // The parts of a scope that a newer configuration no longer uses may be freed during the fetch.
        CacheIndex.Plan plan = scope.filter(known -> confirmed)
                .map(known -> plan(view, known, server, now.monotonicMillis()))
                .orElse(NO_CACHE);
        OptionalLong fetchUntilMillis = context.cacheIndex().fetchDeadlineMillis(plan, now.monotonicMillis());
        Planned planned = new Planned(scope.map(Scope::name), plan, fetchUntilMillis);
        logFetch(view, server, planned, now.monotonicMillis());
        logSave(server, planned, now.monotonicMillis());
        return planned;
    }

    private CacheIndex.Plan plan(PlatformView view, Scope scope, UpstreamServer server, long nowMillis) {
        if (!view.scopeUse().usesGroup(scope.group())) {
            // The team was isolated when the request was read. Nothing keeps the parts of its group from being freed.
            return NO_CACHE;
        }
        List<PromptPart> parts = request.prompt().get().parts();
        CacheIndex.Plan planned = context.cacheIndex().plan(scope.name(), parts, stores(view), nowMillis);
        CacheIndex.Plan plan = hasFreeSlot(server) ? planned : planned.withoutSaves();
        context.cacheIndex().onSavesRequested(scope.name(), parts, plan, nowMillis);
        if (!scope.mayFetch(view, nowMillis)) {
            return new CacheIndex.Plan(List.of(), plan.saveTo());
        }
        if (!mayMove(view, request.prompt().get().sharedTokens())) {
            return plan;
        }
        PromptLocations locations = locations(view);
        // Also for an engine that probably holds the part: it may have evicted it, and fetches only what it lacks.
        OptionalLong version = OptionalLong.of(scope.version());
        // Where no holder is known, the other one of the nearest engines may be one. A wrong guess costs 1 ms.
        return engineSource(server, engineSources(view, version, locations::holders))
                .or(() -> engineSource(server, engineSources(view, version, locations::nearest)))
                .map(source -> plan.withEngine(source.address()))
                .orElse(plan);
    }

    /** A request that waits at its engine would save late, perhaps after a restart of the store. */
    private boolean hasFreeSlot(UpstreamServer server) {
        return engines.load().apply(server).requests() < target.engine().get().slots();
    }

    private void logFetch(PlatformView view, UpstreamServer server, Planned planned, long nowMillis) {
        List<String> sources = planned.plan().fetchFrom().stream()
                .filter(source -> !source.isEmpty())
                .toList();
        if (sources.isEmpty()) {
            return;
        }
        List<String> storeAddresses =
                stores(view).stream().map(CacheStore::address).toList();
        List<String> fromEngines = sources.stream()
                .filter(source -> !storeAddresses.contains(source))
                .distinct()
                .toList();
        context.metrics().onFetch(!fromEngines.isEmpty());
        context.log()
                .logRequest(LogFields.event("send fetches parts")
                        .request(new RequestId(request.id()))
                        .peer(server.address())
                        .field("server", server.id())
                        .field("scope", planned.scope().orElse(""))
                        .field(
                                "stores",
                                sources.stream()
                                        .filter(storeAddresses::contains)
                                        .distinct()
                                        .toList())
                        .field("engines", fromEngines)
                        .field("parts", sources.size())
                        .field("storeRevision", view.revision())
                        .field("confirmationAgeMillis", context.confirmationAgeMillis())
                        .field("indexes", describeIndexes(sources, nowMillis))
                        .field("fetchUntilMillis", planned.fetchUntilMillis().orElse(-1)));
    }

    private void logSave(UpstreamServer server, Planned planned, long nowMillis) {
        List<String> stores = planned.plan().saveTo().stream()
                .filter(store -> !store.isEmpty())
                .toList();
        if (stores.isEmpty()) {
            return;
        }
        context.log()
                .logRequest(LogFields.event("send saves parts")
                        .request(new RequestId(request.id()))
                        .peer(server.address())
                        .field("server", server.id())
                        .field("scope", planned.scope().orElse(""))
                        .field("parts", stores.size())
                        .field("indexes", describeIndexes(stores, nowMillis)));
    }

    /** Tells by which epoch of each store the plan was made, and how old the store's answer was. */
    private List<String> describeIndexes(List<String> stores, long nowMillis) {
        return context.cacheIndex().states(stores, nowMillis).stream()
                .map(state -> state.address() + " epoch " + state.epoch() + " answered " + state.answerAgeMillis()
                        + " ms ago, known for " + state.epochKnownMillis() + " ms")
                .toList();
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
