package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

import com.codahale.metrics.MetricRegistry;
import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.Eligibility;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.ReportedVersions;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.model.relay.EngineTraits;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.RepeatRule;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.ServiceShare;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.model.relay.UpstreamNotice;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.RelaySettings;
import org.cowslipbank.ports.relay.SendPlan;

/** From where and until when engines fetch cached prompt parts, and where they save them. */
final class RequestPlacementTest {
    private static final String STORE = "10.0.0.1:80";
    private static final long REVOKE_MILLIS = 5_000;
    private static final long VERSION_MILLIS = 6_000;
    private static final int TOKENS = 9_000;
    /** From this number on, other engines than i-1 and i-2 are the nearest ones of the prompt's part. */
    private static final int FIRST_OTHER_ENGINE = 80;

    private static final RelayTeam ISOLATED = new RelayTeam("t", List.of("k"), true, OptionalInt.empty());
    private static final Route ROUTE = new Route(
            "r", "h", "/", RepeatRule.STREAM, 12_000, 800, 0, List.of(new ServiceShare("llm", 1)), 2, false, false);
    private static final String COLD_SERVICE = "[],\"Services\":[{\"Name\":\"llm\",\"ColdStartS\":1,\"ColdPerS\":9},";
    private static final String ENGINE =
            """
            {"Service":"llm","Address":"10.0.1.%s:80","Zone":"a","Slots":1,"State":"%s","born":1,"Version":"v1",
             "Models":[{"Name":"m","Version":%d}]}
            """;

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private long millisPerReading;
    private boolean storeAnswers = true;
    private final ReportedVersions reported = new ReportedVersions();
    private final Clocks clocks = new Clocks(() -> nowMillis.getAndAdd(millisPerReading), nowMillis::get);
    private final DecisionLog log = new DecisionLog(nowMillis::get, DecisionLog.LINES_PER_SECOND);
    private final NodeItems items = PlatformStates.ITEMS;
    private final StreamOrigins origins = new StreamOrigins("n1");
    private final PlatformState state = PlatformStates.create(origins, log);
    private final CacheIndex cacheIndex = new CacheIndex();
    private final PartLocations partLocations = new PartLocations();
    private final UpstreamLoads loads = new UpstreamLoads();
    private final FleetLoads fleetLoads = new FleetLoads();
    private final UpstreamNotices notices = new UpstreamNotices();
    private final LoopTurnTracker turns = new LoopTurnTracker(null, clocks, (unreadMillis, endMillis) -> {});
    private final RelayMetrics metrics = new RelayMetrics(new MetricRegistry());
    private final HeldMemory held = new HeldMemory(1, null, clocks, metrics, log);
    private Optional<ConfigurationConfirmation> confirmation = Optional.empty();
    private Runnable onConfirmationRead = () -> {};
    private long revision = 1;

    RequestPlacementTest() {
        state.applySnapshot(new MetadataStore.Range(List.of(), revision, 0), 0, Long.MAX_VALUE, nowMillis.get());
    }

    private void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void put(String key, byte[] bytes) {
        revision++;
        state.applyChanges(List.of(new StoreItem(key, bytes, revision, revision, 0)), revision, nowMillis.get());
    }

    private void configure(boolean isolated) {
        put("op/config", PlatformStates.configuration(revision, isolated));
    }

    private void register(String id, long version) {
        register(id, version, "ready");
    }

    private void register(String id, long version, String registeredState) {
        put("servers/" + id, ENGINE.formatted(id.substring(2), registeredState, version));
    }

    private void store(String scope) {
        cacheIndex.onStoreAnswer(STORE, 1, false, nowMillis.get());
        cacheIndex.onUpstreamClock(STORE, nowMillis.get(), nowMillis.get());
        cacheIndex.onPartEvent(STORE, scope, "p", TOKENS);
    }

    private void confirmAfter(long millis) {
        nowMillis.addAndGet(millis);
        confirmation = Optional.of(new ConfigurationConfirmation(nowMillis.get(), nowMillis.get()));
        cacheIndex.onStoreAnswer(STORE, 1, false, nowMillis.get());
    }

    private Optional<ConfigurationConfirmation> readConfirmation() {
        Optional<ConfigurationConfirmation> read = confirmation;
        onConfirmationRead.run();
        return read;
    }

    /** Returns a context with what a placement needs. */
    private RelayContext context() {
        RelaySettings settings = new RelaySettings(
                "n1",
                "a",
                null,
                "",
                1_000,
                new RelaySettings.Bounds(
                        REVOKE_MILLIS, true, 2_000, 3_000, 0.2, 1, 3_000, VERSION_MILLIS, 5_000, 1.5, 5),
                430,
                1,
                1,
                0,
                0);
        return new RelayContext(
                settings,
                null,
                state::view,
                this::readConfirmation,
                null,
                null,
                () -> storeAnswers,
                null,
                clocks,
                null,
                null,
                null,
                null,
                null,
                null,
                loads,
                notices,
                null,
                fleetLoads,
                cacheIndex,
                partLocations,
                turns,
                null,
                new WaitingRequests(null, clocks, turns, loads, metrics, log),
                null,
                null,
                null,
                null,
                null,
                origins,
                new StreamOriginReports(
                        new ControlContext(null, null, items, state::view, clocks, null, log), origins, reported),
                null,
                held,
                metrics,
                log);
    }

    private static RelayRequest request() {
        PromptShape prompt =
                new PromptShape("m", TOKENS + 10, 5, List.of(new PromptPart("p", TOKENS), new PromptPart("own", 10)));
        return new RelayRequest(
                "r1",
                "POST",
                "/",
                "h",
                Optional.empty(),
                OptionalLong.empty(),
                Optional.of(prompt),
                Optional.empty(),
                Optional.empty(),
                List.of());
    }

    private static RequestPlacement.Target placementTarget(Optional<RelayTeam> team, boolean moves, int bodyBytes) {
        return new RequestPlacement.Target(
                "llm",
                Optional.of(new EngineTraits(1, 100_000, 1, 1, moves, List.of())),
                team,
                true,
                false,
                ROUTE,
                bodyBytes);
    }

    private RequestPlacement placement(Optional<RelayTeam> team, boolean moves) {
        return placement(team, moves, 0);
    }

    private RequestPlacement placement(Optional<RelayTeam> team, boolean moves, int bodyBytes) {
        return new RequestPlacement(context(), request(), placementTarget(team, moves, bodyBytes), incarnation -> 0);
    }

    private SendPlan plan(Optional<RelayTeam> team, String engineId) {
        return plan(team, state.view().servers().get(engineId), false);
    }

    private SendPlan plan(Optional<RelayTeam> team, UpstreamServer server, boolean moves) {
        return placement(team, moves).planSend(server, 1_000, Optional.empty());
    }

    private static boolean fetches(SendPlan plan) {
        return plan.fetchFrom().contains(STORE);
    }

    /** Failure guarded against: the wait for engines that have failed together counts as a wait for capacity. */
    @Example
    void waitIsForCapacityOnlyWhileMostUpstreamsAccept() {
        configure(false);
        for (int failed = 0; failed <= 3; failed++) {
            register("i-" + (failed + 1), 1);
            RequestPlacement placement = placement(Optional.empty(), false);
            boolean mostAccept = placement.mostUpstreamsAccept();
            assert mostAccept == (failed <= 1) : failed + " of " + (failed + 1) + ": " + mostAccept;
            String incarnation = state.view().servers().get("i-" + (failed + 1)).incarnation();
            loads.onEnded(incarnation, 0, UpstreamLoads.Outcome.UNREACHABLE, nowMillis.get());
        }
    }

    /** Failure guarded against: long bodies go on to an engine that does not take them, or short ones are kept from it. */
    @Example
    void engineThatDoesNotTakeLongBodiesGetsNoMore() {
        register("i-1", 1);
        int halfBytes = 1 << 19;
        String address = state.view().servers().get("i-1").address();
        for (int bodyBytes : new int[] {0, 64 * 1024, 64 * 1024 + 1, 1 << 22}) {
            RequestPlacement placement = placement(Optional.empty(), false, bodyBytes);
            assert placement.choose(state.view(), Set.of()).isPresent() : bodyBytes;
            held.bytes().onSent(address, halfBytes);
            assert placement.choose(state.view(), Set.of()).isPresent() == bodyBytes <= 64 * 1024 : bodyBytes;
            held.bytes().onTaken(address, halfBytes);
        }
    }

    /** Failure guarded against: a pause after the check of the configuration lengthens the fetch by as much. */
    @Example
    void pauseDoesNotMoveTheDeadlineOfAFetch() {
        configure(false);
        register("i-1", 1);
        store("m/1/");
        confirmAfter(60_000);
        long confirmedMillis = nowMillis.get();
        nowMillis.addAndGet(REVOKE_MILLIS - 1_000);
        cacheIndex.onStoreAnswer(STORE, 1, false, nowMillis.get());
        millisPerReading = 500;
        SendPlan plan = plan(Optional.empty(), "i-1");
        assert fetches(plan) : plan;
        long endMillis = plan.fetchUntilMillis().getAsLong();
        assert endMillis <= confirmedMillis + REVOKE_MILLIS + CacheIndex.FETCH_TIMEOUT_MILLIS : endMillis;
    }

    /**
     * Failure guarded against: a request that was queued while its team was isolated fetches and saves parts of a group
     * that no configuration uses any more, and that the leader frees.
     */
    @Example
    void queuedRequestOfATeamThatIsNoLongerIsolatedUsesNoStore() {
        configure(true);
        register("i-1", 1);
        store("m/1/t");
        confirmAfter(60_000);
        assert fetches(plan(Optional.of(ISOLATED), "i-1"));
        configure(false);
        confirmAfter(60_000);
        SendPlan plan = plan(Optional.of(ISOLATED), "i-1");
        assert !fetches(plan) && plan.cacheScope().equals(Optional.of("m/1/t")) : plan;
        cacheIndex.onPartEvent(STORE, "m/1/t", "p", 0);
        assert !plan(Optional.of(ISOLATED), "i-1").saveTo().contains(STORE);
    }

    /** Failure guarded against: a request that waits at its engine saves late, perhaps after a restart of the store. */
    @Example
    void requestAtAFullEngineSavesNothing() {
        configure(false);
        register("i-1", 1);
        store("m/1/");
        cacheIndex.onPartEvent(STORE, "m/1/", "p", 0);
        confirmAfter(60_000);
        String incarnation = state.view().servers().get("i-1").incarnation();
        assert plan(Optional.empty(), "i-1").saveTo().contains(STORE);
        // The first save counts as lost by then; the engine has one slot.
        confirmAfter(10_000);
        loads.onSent(incarnation, TOKENS, TOKENS, 60_000, nowMillis.get());
        assert !plan(Optional.empty(), "i-1").saveTo().contains(STORE);
        loads.onEnded(incarnation, TOKENS, UpstreamLoads.Outcome.ANSWERED, nowMillis.get());
        assert plan(Optional.empty(), "i-1").saveTo().contains(STORE);
    }

    /** Failure guarded against: parts are fetched from a group that a node frees which does not know of its return yet. */
    @Example
    void groupThatIsUsedAgainIsNotFetchedFromAtOnce() {
        configure(true);
        register("i-1", 1);
        confirmAfter(60_000);
        configure(false);
        confirmAfter(60_000);
        configure(true);
        store("m/1/t");
        confirmAfter(CacheScopeUse.ENTRY_DELAY_MILLIS - 1);
        assert !fetches(plan(Optional.of(ISOLATED), "i-1"));
        confirmAfter(1);
        assert fetches(plan(Optional.of(ISOLATED), "i-1"));
    }

    /** Failure guarded against: parts are fetched for an engine that returned with a version that a node frees. */
    @Example
    void replacedVersionThatReturnsIsNotFetchedFromAtOnce() {
        configure(false);
        register("i-1", 2);
        confirmAfter(60_000);
        register("i-2", 1);
        store("m/1/");
        confirmAfter(CacheScopeUse.ENTRY_DELAY_MILLIS - 1);
        assert !fetches(plan(Optional.empty(), "i-2"));
        confirmAfter(1);
        assert fetches(plan(Optional.empty(), "i-2"));
        register("i-2", 3);
        store("m/3/");
        assert fetches(plan(Optional.empty(), "i-2")) : "nobody frees the newest version";
    }

    /** Failure guarded against: a confirmation that came with a newer configuration is taken for one of the older. */
    @Example
    void confirmationHoldsForTheConfigurationThatIsUsed() {
        configure(true);
        register("i-1", 1);
        store("m/1/t");
        confirmAfter(60_000);
        onConfirmationRead = () -> {
            onConfirmationRead = () -> {};
            configure(false);
        };
        assert !fetches(plan(Optional.of(ISOLATED), "i-1"));
    }

    /** Failure guarded against: a request whose connection is being opened reaches a data centre evacuated meanwhile. */
    @Example
    void sendIsHeldBackOnceTheDataCentreIsEvacuated() {
        configure(false);
        register("i-1", 1);
        UpstreamServer server = state.view().servers().get("i-1");
        UpstreamTarget target = new UpstreamTarget(
                context(), placement(Optional.empty(), false), request(), null, UpstreamSelector.Choice.plain(server));
        assert target.heldBack().isEmpty();
        put("op/evacuate/a", "{}");
        assert target.heldBack().isPresent();
    }

    /** What differs from a send that fetches from an engine. */
    private enum Difference {
        NONE,
        NO_MOVES,
        SMALL_SERVICE,
        NOT_PLACED,
        STORE_HAS_PART,
        SOURCE_DRAINS,
        SOURCE_EVACUATED,
        SOURCE_UNREACHABLE,
        SOURCE_HAS_OTHER_VERSION,
        TARGET_HAS_OTHER_VERSION,
        JUST_PLACED,
        NOT_CONFIRMED,
        ISOLATED_TEAM
    }

    /**
     * Failure guarded against: an engine computes a part again that another one holds; or it fetches from an engine that
     * leaves, cannot be reached, has other weights or still computes the part, under a configuration that may have changed, or
     * what another team has made.
     */
    @Example
    void partIsFetchedFromTheEngineThatHoldsIt() {
        for (Difference difference : Difference.values()) {
            assert new RequestPlacementTest().fetchesFromEngine(difference) == (difference == Difference.NONE)
                    : difference;
        }
    }

    private boolean fetchesFromEngine(Difference difference) {
        boolean isolated = difference == Difference.ISOLATED_TEAM;
        configure(isolated);
        register("i-1", difference == Difference.TARGET_HAS_OTHER_VERSION ? 2 : 1);
        register("i-2", 1);
        for (int engine = 3; engine <= (difference == Difference.SMALL_SERVICE ? 16 : 17); engine++) {
            register("i-" + (FIRST_OTHER_ENGINE + engine), 3);
        }
        confirmAfter(60_000);
        cacheIndex.onUpstreamClock(STORE, nowMillis.get(), nowMillis.get());
        String commonGroup = state.view().routes().orElseThrow().sharing().groupOf(Optional.empty());
        int part = PartLocations.partHash("m/1/" + commonGroup, "p");
        UpstreamServer source = state.view().servers().get("i-2");
        assert !UpstreamSelector.nearest("p", state.view().activeServers("llm")).contains(source) : "a guess";
        long placedMillis = nowMillis.get() - (difference == Difference.JUST_PLACED ? 100 : 1_000);
        if (difference != Difference.NOT_PLACED) {
            partLocations.onPlaced(part, TOKENS, PartLocations.engineHash(source), placedMillis);
        }
        switch (difference) {
            case STORE_HAS_PART -> store("m/1/");
            case SOURCE_DRAINS -> register("i-2", 1, "draining");
            case SOURCE_EVACUATED -> put("op/evacuate/a", "{}");
            case SOURCE_UNREACHABLE -> loads.onEnded(
                    source.incarnation(), TOKENS, UpstreamLoads.Outcome.UNREACHABLE, nowMillis.get());
            case SOURCE_HAS_OTHER_VERSION -> register("i-2", 2);
            case NOT_CONFIRMED -> nowMillis.addAndGet(REVOKE_MILLIS);
            default -> {}
        }
        UpstreamServer target = state.view().servers().get("i-1");
        Optional<RelayTeam> team = isolated ? Optional.of(ISOLATED) : Optional.empty();
        SendPlan plan = plan(team, target, difference != Difference.NO_MOVES);
        boolean fetches = plan.fetchFrom().equals(List.of(source.address(), ""));
        assert !fetches || plan.fetchUntilMillis().getAsLong() == nowMillis.get() + CacheIndex.FETCH_TIMEOUT_MILLIS;
        return fetches;
    }

    /** Makes an engine one that must not get a new request, or one that does not take up a stream of version v1. */
    private void exclude(UpstreamServer engine, Eligibility reason) {
        String incarnation = engine.incarnation();
        String item = ENGINE.formatted("1", "ready", 1);
        UpstreamNotice says =
                switch (reason) {
                    case LEAVING -> new UpstreamNotice(
                            OptionalDouble.empty(), true, OptionalLong.empty(), OptionalInt.empty(), List.of());
                    case PAUSED -> new UpstreamNotice(
                            OptionalDouble.empty(), false, OptionalLong.of(900), OptionalInt.empty(), List.of());
                    case LIMITED -> new UpstreamNotice(
                            OptionalDouble.of(1), false, OptionalLong.empty(), OptionalInt.empty(), List.of());
                    default -> UpstreamNotice.NONE;
                };
        notices.onAnswer(incarnation, says, nowMillis.get(), nowMillis.get());
        switch (reason) {
            case DRAINING -> register("i-1", 1, "draining");
            case REPLACED -> put("servers/i-9", item.replace("\"born\":1", "\"born\":2"));
            case EVACUATED -> {
                put("servers/i-1", item.replace("\"Zone\":\"a\"", "\"Zone\":\"b\""));
                put("op/evacuate/b", "{}");
            }
            case OTHER_SOFTWARE_VERSION, SOFTWARE_VERSION_NOT_RECORDED -> put(
                    "servers/i-1", item.replace("\"v1\"", "\"v0\""));
            case OTHER_VERSION_REPORTED -> {
                storeAnswers = false;
                put("servers/i-1", item.replace("\"v1\"", "\"v0\""));
                origins.versions().onRecorded(new SoftwareVersions.Version("llm", "v0"), 1, nowMillis.get());
                StreamOrigins.Report report = new StreamOrigins.Report("llm", "v1", List.of("r1"));
                reported.take(() -> List.of(report), nowMillis.get());
            }
            case OLD_WEIGHTS -> {
                put("op/version/m", "{\"Model\":\"m\",\"Version\":2}");
                register("i-2", 2);
                nowMillis.addAndGet(VERSION_MILLIS);
            }
            case SWITCHING_WEIGHTS -> {
                put(items.leaderKey(), NodeItems.encodeText("n1#7"));
                put(
                        items.rolloutKey(),
                        NodeItems.encodeRollout(new NodeItems.RolloutAnnouncement("n1#7", Set.of("i-1"))));
            }
            case COLD_WITHOUT_PERMIT -> put("servers/i-1", item.replace("{", "{\"ColdRemainingMs\":900,"));
            case BRITTLE -> {
                notices.brittle().setUpstreams(state.view().servers().values());
                loads.onSent(incarnation, 10, 10, 1_000, nowMillis.get());
            }
            case UNREAD_BODIES -> held.bytes().onSent(engine.address(), 1 << 19);
            case QUARANTINED -> loads.onEnded(incarnation, TOKENS, UpstreamLoads.Outcome.UNREACHABLE, nowMillis.get());
            case SILENT -> loads.onEnded(incarnation, TOKENS, UpstreamLoads.Outcome.SILENT, nowMillis.get());
            case NO_CAPACITY -> fleetLoads.onDigest(
                    new FleetLoads.Source(FleetLoads.Scope.NODE, 1, 0),
                    Map.of(FleetLoads.shortHash("i-1"), new FleetLoads.Load(1, 10, 10)),
                    nowMillis.get());
            default -> {}
        }
    }

    private static Eligibility reasonOf(ExplainedPlacement.Outlook outlook, String engineId) {
        return outlook.upstreams().stream()
                .filter(compared -> compared.server().id().equals(engineId))
                .findFirst()
                .orElseThrow()
                .eligibility();
    }

    /**
     * Failure guarded against: an explanation states another upstream than requests get, or another reason than the one that
     * keeps an engine from them; or it takes the permit or the probe of a request.
     */
    @Example
    void explanationStatesWhatKeepsAnEngineFromRequests() {
        for (Eligibility reason : Eligibility.values()) {
            new RequestPlacementTest().explainsExclusion(reason);
        }
    }

    private void explainsExclusion(Eligibility reason) {
        put("op/config", PlatformStates.configuration(revision, false).replace("[],\"Services\":[", COLD_SERVICE));
        register("i-1", 1);
        register("i-2", 1);
        nowMillis.addAndGet(60_000);
        origins.versions().onRecorded(new SoftwareVersions.Version("llm", "v1"), 1, nowMillis.get());
        exclude(state.view().servers().get("i-1"), reason);
        boolean resumable =
                reason == Eligibility.SOFTWARE_VERSION_NOT_RECORDED || reason == Eligibility.OTHER_VERSION_REPORTED;
        RequestPlacement.Target target = new RequestPlacement.Target(
                "llm",
                Optional.of(new EngineTraits(1, 100_000, 1, 1, false, List.of())),
                Optional.empty(),
                true,
                resumable,
                ROUTE,
                reason == Eligibility.UNREAD_BODIES ? 1 << 20 : 0);
        ExplainedPlacement explained = new ExplainedPlacement(context(), request(), target);
        RequestPlacement placed = new RequestPlacement(context(), request(), target, incarnation -> 0);
        if (reason == Eligibility.OTHER_SOFTWARE_VERSION) {
            explained.placement().requireSoftwareVersion("v1");
            placed.requireSoftwareVersion("v1");
        }
        for (int time = 0; time < 3; time++) {
            ExplainedPlacement.Outlook outlook = explained.explain(state.view());
            assert reasonOf(outlook, "i-1") == reason : reason + " " + outlook;
            assert reasonOf(outlook, "i-2").isEligible() : reason + " " + outlook;
            assert outlook.upstreams().stream()
                            .allMatch(compared -> compared.expectedMillis().isPresent())
                    : outlook;
            assert outlook.choice().equals(placed.choose(state.view(), Set.of())) : reason + " " + outlook;
            assert !outlook.inPause()
                    && (reason.isEligible()
                            || !outlook.choice().orElseThrow().server().id().equals("i-1"));
        }
    }

    /** Failure guarded against: explanations use up the permits of an upstream that is limited, cold or wants a pause. */
    @Example
    void explanationTakesNoPermit() {
        for (Eligibility reason : List.of(Eligibility.LIMITED, Eligibility.COLD_WITHOUT_PERMIT, Eligibility.PAUSED)) {
            new RequestPlacementTest().explainsWithoutPermit(reason);
        }
    }

    private void explainsWithoutPermit(Eligibility reason) {
        put("op/config", PlatformStates.configuration(revision, false).replace("[],\"Services\":[", COLD_SERVICE));
        register("i-1", 1);
        notices.cold().setNodes(Set.of("n1"), "n1", nowMillis.get());
        nowMillis.addAndGet(60_000);
        notices.cold().setNodes(Set.of("n1"), "n1", nowMillis.get());
        exclude(state.view().servers().get("i-1"), reason);
        UpstreamServer engine = state.view().servers().get("i-1");
        nowMillis.addAndGet(reason == Eligibility.LIMITED ? 2_000 : 0);
        placement(Optional.empty(), false).choose(state.view(), Set.of());
        nowMillis.addAndGet(reason == Eligibility.COLD_WITHOUT_PERMIT ? 200 : 0);
        ExplainedPlacement explained =
                new ExplainedPlacement(context(), request(), placementTarget(Optional.empty(), false, 0));
        for (int time = 0; time < 3; time++) {
            ExplainedPlacement.Outlook outlook = explained.explain(state.view());
            assert outlook.choice().isPresent() && outlook.inPause() == (reason == Eligibility.PAUSED)
                    : reason + " " + outlook;
        }
        notices.onSent(engine.incarnation(), nowMillis.get());
        notices.onSent(engine.incarnation(), nowMillis.get());
        ExplainedPlacement.Outlook outlook = explained.explain(state.view());
        assert outlook.choice().isEmpty() && reasonOf(outlook, "i-1") == reason : reason + " " + outlook;
    }

    /**
     * Failure guarded against: an engine computes a part again that the other one of the nearest two holds, because only another
     * node has placed it there; or it fetches from one that cannot be reached or has other weights.
     */
    @Example
    void partIsFetchedFromTheNearestEngineWhereNoHolderIsKnown() {
        assert fetchesFromNearest((test, nearest) -> {});
        assert !fetchesFromNearest((test, nearest) -> test.register(nearest.id(), 2)) : "other weights";
        assert !fetchesFromNearest((test, nearest) -> test.loads.onEnded(
                        nearest.incarnation(), TOKENS, UpstreamLoads.Outcome.UNREACHABLE, test.nowMillis.get()))
                : "cannot be reached";
    }

    private static boolean fetchesFromNearest(BiConsumer<RequestPlacementTest, UpstreamServer> change) {
        RequestPlacementTest test = new RequestPlacementTest();
        test.configure(false);
        for (int engine = 1; engine <= 17; engine++) {
            test.register("i-" + engine, 1);
        }
        test.confirmAfter(60_000);
        test.cacheIndex.onUpstreamClock(STORE, test.nowMillis.get(), test.nowMillis.get());
        List<UpstreamServer> nearest =
                UpstreamSelector.nearest("p", test.state.view().activeServers("llm"));
        change.accept(test, nearest.get(1));
        SendPlan atHome = test.plan(Optional.empty(), nearest.get(0), true);
        return atHome.fetchFrom().equals(List.of(nearest.get(1).address(), ""));
    }
}
