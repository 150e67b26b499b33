package org.cowslipbank.entry.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.routing.Candidate;
import org.cowslipbank.decision.routing.PrefetchDecision;
import org.cowslipbank.decision.routing.PrefetchInput;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.OutsideSystems;
import reactor.core.publisher.Mono;

/** Chooses the upstream of a prompt and brings its retained blocks there. */
final class PromptRouter {
    private static final int BYTES_PER_TOKEN = 4;
    private static final double MILLIS_PER_SECOND = 1_000;
    // A caller looks up addresses in order to send; some look-ups only renew an answer that is about to expire.
    private static final double REQUEST_PROBABILITY = 0.8;
    private static final double MAX_PREFETCH_MILLIS = 2_000;

    private final OutsideSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final UpstreamTable upstreams;
    private final StoreTable stores;
    private final BlockLocator locator;
    private final BlockFetcher fetcher;
    private final TeamSecrets secrets;
    private final TrafficSettings settings;
    private final FleetView fleet;
    private final SuspectService suspects;
    private final SessionHints hints;
    private final Prefetches prefetches = new Prefetches();
    private final MonotonicClock clock;
    private final DecisionRecorder recorder;

    PromptRouter(TrafficContext context, BlockLocator locator, SessionHints hints) {
        this.systems = context.systems();
        this.configuration = context.configuration();
        this.upstreams = context.upstreams();
        this.stores = context.stores();
        this.secrets = context.secrets();
        this.settings = context.settings();
        this.fleet = context.fleet();
        this.suspects = context.suspects();
        this.clock = context.clock();
        this.recorder = context.recorder();
        this.locator = locator;
        this.hints = hints;
        this.fetcher = new BlockFetcher(stores, clock, recorder);
    }

    /**
     * Places a prompt of which no token has been emitted. While no upstream has the wanted version loaded, as during a
     * version change, it runs on another version of the model.
     *
     * @param request the request
     * @param wanted the model, weight version and adapter
     * @param avoid upstreams on which attempts failed
     * @param granted the upstream that the arbiter named for a suspect, empty for a request that is none
     * @return the placement; an error of type {@link NotPlacedException} if no upstream takes it now
     */
    Mono<Placed> placeNew(
            PromptRequest request, ModelRef wanted, List<UpstreamId> avoid, Optional<UpstreamId> granted) {
        Mono<Placed> placement = place(request, wanted, avoid, granted);
        for (ModelRef other : otherVersions(wanted)) {
            placement = placement.onErrorResume(
                    PromptRouter::isVersionMissing, error -> place(request, other, avoid, granted));
        }
        return placement.onErrorMap(
                PromptRouter::isVersionMissing, error -> new NotPlacedException(NotSentReason.NO_UPSTREAM));
    }

    private static boolean isVersionMissing(Throwable error) {
        return error instanceof NotPlacedException notPlaced && notPlaced.reason() == NotSentReason.NO_SUCH_VERSION;
    }

    private List<ModelRef> otherVersions(ModelRef wanted) {
        return configuration.get().model(wanted.model()).stream()
                .flatMap(model -> model.versions().stream())
                .filter(version -> !version.weightVersion().equals(wanted.weightVersion()))
                .filter(version ->
                        wanted.adapter().isEmpty() || version.adapters().contains(wanted.adapter()))
                .map(version -> new ModelRef(wanted.model(), version.weightVersion(), wanted.adapter()))
                .toList();
    }

    /**
     * Places a prompt.
     *
     * @param request the request
     * @param wanted the model, weight version and adapter
     * @param avoid upstreams on which attempts failed
     * @param granted the only upstream that may be chosen, for a suspect; otherwise empty
     * @return the placement; an error of type {@link NotPlacedException} if no upstream takes it
     */
    Mono<Placed> place(PromptRequest request, ModelRef wanted, List<UpstreamId> avoid, Optional<UpstreamId> granted) {
        return Mono.defer(() -> {
            List<BlockIdentity> chain = chainOf(request, wanted);
            PromptOutline prompt = new PromptOutline(
                    request.team(),
                    request.session(),
                    wanted,
                    chain,
                    request.prompt().length());
            return Mono.zip(locator.find(chain), prefetches.await(key(request.team(), request.session())))
                    .flatMap(found -> choose(prompt, id -> mayTake(id, avoid, granted), found.getT1(), found.getT2()));
        });
    }

    /**
     * Stages the retained blocks of a session that has looked up its addresses, so that they are at an engine when its
     * prompt arrives.
     *
     * @param team the team
     * @param session the session key
     */
    void prefetch(Team team, SessionKey session) {
        String key = key(team, session);
        Optional<PromptOutline> run = prefetches.lastRun(key).filter(last -> isCurrent(last.model()));
        if (run.isEmpty() || prefetches.isKnown(key)) {
            return;
        }
        PromptOutline last = run.get();
        prefetches.begin(key, locator.find(last.chain()).flatMap(retained -> stage(last, retained)));
    }

    private boolean isCurrent(ModelRef ran) {
        return configuration
                .get()
                .model(ran.model())
                .filter(model -> model.activeVersion().equals(ran.weightVersion()))
                .isPresent();
    }

    private Mono<Prefetches.Staged> stage(PromptOutline last, List<BlockRef> retained) {
        RoutingInput expected =
                input(last, id -> mayTake(id, List.of(), Optional.empty()), retained, Prefetches.Staged.NONE);
        RoutingOutcome outcome = recorder.decide(
                PrefetchDecision.PREFETCH, new PrefetchInput(expected, REQUEST_PROBABILITY, MAX_PREFETCH_MILLIS));
        boolean useful = outcome.result() == RoutingOutcome.Result.CHOSEN
                && outcome.localBlocks() == 0
                && !outcome.fetch().isEmpty();
        Optional<Upstream> upstream = useful ? configuration.get().upstream(outcome.upstream()) : Optional.empty();
        if (upstream.isEmpty()) {
            return Mono.just(Prefetches.Staged.NONE);
        }
        return fetch(systems.engine(upstream.get().address()), expected, outcome)
                .map(blocks -> new Prefetches.Staged(outcome.upstream(), blocks));
    }

    /** Notes where a prompt ran, for the return of its session. */
    void ran(PromptRequest request, Placed placed) {
        String key = key(request.team(), request.session());
        hints.ran(key, placed.upstream().id(), placed.chain());
        prefetches.ran(key, request, placed);
    }

    private static String key(Team team, SessionKey session) {
        return Rendezvous.key(team.id().value(), session.value());
    }

    private List<BlockIdentity> chainOf(PromptRequest request, ModelRef model) {
        byte[] secret = secrets.hashingKey(request.team().id());
        byte[] prompt = request.prompt().getBytes(StandardCharsets.UTF_8);
        return PromptChain.identities(secret, request.team().id(), model, prompt, settings.pieceBytes());
    }

    private Mono<Placed> choose(
            PromptOutline prompt, Predicate<UpstreamId> usable, List<BlockRef> retained, Prefetches.Staged staged) {
        RoutingInput input = input(prompt, usable, retained, staged);
        RoutingOutcome outcome = recorder.decide(RoutingDecision.ROUTE, input);
        if (outcome.result() != RoutingOutcome.Result.CHOSEN) {
            NotSentReason reason = outcome.result() == RoutingOutcome.Result.NO_MATCHING_VERSION
                    ? NotSentReason.NO_SUCH_VERSION
                    : NotSentReason.NO_UPSTREAM;
            return Mono.error(new NotPlacedException(reason));
        }
        Optional<Upstream> upstream = configuration.get().upstream(outcome.upstream());
        if (upstream.isEmpty()) {
            return Mono.error(new NotPlacedException(NotSentReason.NO_UPSTREAM));
        }
        Engine engine = systems.engine(upstream.get().address());
        List<BlockIdentity> prefetched = staged.leading(outcome.upstream(), prompt.chain());
        return fetch(engine, input, outcome)
                .map(fetched -> placed(upstream.get(), prompt.model(), input, outcome, joined(prefetched, fetched)));
    }

    private Mono<List<BlockIdentity>> fetch(Engine engine, RoutingInput input, RoutingOutcome outcome) {
        Optional<StoreVm> store = outcome.fetch().isEmpty()
                ? Optional.empty()
                : configuration.get().store(outcome.fetch().get(0).store());
        if (store.isEmpty()) {
            return Mono.just(List.of());
        }
        double recomputeBlockMillis = recomputeBlockMillis(input, outcome.upstream());
        double promptRecomputeMillis = recomputeBlockMillis * input.promptTokens() / input.pieceTokens();
        return fetcher.fetch(
                engine,
                new BlockFetcher.Plan(
                        outcome.fetch(),
                        store.get(),
                        outcome.queueMillis(),
                        recomputeBlockMillis,
                        promptRecomputeMillis,
                        input.weights()));
    }

    private static double recomputeBlockMillis(RoutingInput input, UpstreamId upstream) {
        return input.candidates().stream()
                .filter(candidate -> candidate.upstream().equals(upstream))
                .mapToDouble(candidate -> input.pieceTokens() * MILLIS_PER_SECOND / candidate.prefillTokensPerSecond())
                .findFirst()
                .orElse(0);
    }

    private static List<BlockIdentity> joined(List<BlockIdentity> prefetched, List<BlockIdentity> fetched) {
        List<BlockIdentity> all = new ArrayList<>(prefetched);
        all.addAll(fetched);
        return List.copyOf(all);
    }

    private static Placed placed(
            Upstream upstream, ModelRef model, RoutingInput input, RoutingOutcome outcome, List<BlockIdentity> staged) {
        int lastStaged = staged.isEmpty() ? 0 : staged.get(staged.size() - 1).pieceIndex() + 1;
        long cachedTokens = (long) Math.max(outcome.localBlocks(), lastStaged) * input.pieceTokens();
        long computeTokens = Math.max(1, input.promptTokens() - cachedTokens);
        return new Placed(upstream, model, input.chain(), input.retained(), staged, computeTokens);
    }

    private RoutingInput input(
            PromptOutline prompt, Predicate<UpstreamId> usable, List<BlockRef> retained, Prefetches.Staged staged) {
        Configuration current = configuration.get().configuration();
        return new RoutingInput(
                prompt.team().id(),
                prompt.model(),
                prompt.chain(),
                prompt.promptBytes() / BYTES_PER_TOKEN + 1,
                settings.pieceBytes() / BYTES_PER_TOKEN,
                retained,
                candidates(prompt, usable, staged),
                stores.links(current.stores(), clock.nowMillis()),
                current.weights());
    }

    private List<Candidate> candidates(PromptOutline prompt, Predicate<UpstreamId> mayTake, Prefetches.Staged staged) {
        ModelRef wanted = prompt.model();
        List<BlockIdentity> chain = prompt.chain();
        String key = key(prompt.team(), prompt.session());
        ConfigurationIndex index = configuration.get();
        List<UpstreamId> usable =
                allowedUpstreams(index, wanted).stream().filter(mayTake).toList();
        List<Candidate> candidates = new ArrayList<>();
        for (UpstreamId id : RoutingDecision.subset(key, usable, RoutingDecision.SUBSET_SIZE)) {
            int local = Math.max(
                    hints.localBlocks(key, id, chain), staged.leading(id, chain).size());
            upstreams.load(id, clock.nowMillis()).ifPresent(load -> candidates.add(candidate(id, load, local)));
        }
        return candidates;
    }

    /**
     * Returns the upstreams on which a suspect may run.
     *
     * @param wanted the model, weight version and adapter
     * @param avoid upstreams on which attempts failed
     * @return the upstreams with the requests in flight there
     */
    List<SuspectArbiter.Candidate> suspectCandidates(ModelRef wanted, List<UpstreamId> avoid) {
        List<SuspectArbiter.Candidate> candidates = new ArrayList<>();
        for (UpstreamId id : allowedUpstreams(configuration.get(), wanted)) {
            Optional<EngineLoad> load =
                    isUsable(configuration.get(), id, avoid) ? upstreams.load(id, clock.nowMillis()) : Optional.empty();
            load.filter(report -> hasVersion(report, wanted))
                    .ifPresent(report -> candidates.add(new SuspectArbiter.Candidate(
                            id, Math.max(report.running() + report.waiting(), upstreams.inFlight(id)))));
        }
        return candidates;
    }

    private static boolean hasVersion(EngineLoad load, ModelRef wanted) {
        return !load.loading()
                && load.loaded().model().equals(wanted.model())
                && load.loaded().weightVersion().equals(wanted.weightVersion());
    }

    private boolean mayTake(UpstreamId id, List<UpstreamId> avoid, Optional<UpstreamId> granted) {
        boolean free = granted.map(id::equals).orElseGet(() -> !suspects.isReserved(id));
        return free && isUsable(configuration.get(), id, avoid);
    }

    private static List<UpstreamId> allowedUpstreams(ConfigurationIndex index, ModelRef wanted) {
        return index.model(wanted.model())
                .map(model -> allowedUpstreams(model.versions(), wanted))
                .orElse(List.of());
    }

    private static List<UpstreamId> allowedUpstreams(List<ModelVersion> versions, ModelRef wanted) {
        return versions.stream()
                .filter(version -> version.weightVersion().equals(wanted.weightVersion()))
                .flatMap(version -> version.upstreams().stream())
                .toList();
    }

    private boolean isUsable(ConfigurationIndex index, UpstreamId id, List<UpstreamId> avoid) {
        if (avoid.contains(id) || fleet.leavingUpstreams().contains(id)) {
            return false;
        }
        return index.upstream(id)
                .filter(upstream -> upstream.state() == UpstreamState.ACTIVE)
                .isPresent();
    }

    private Candidate candidate(UpstreamId id, EngineLoad load, int localBlocks) {
        return new Candidate(
                id,
                UpstreamState.ACTIVE,
                load.loaded(),
                load.loading(),
                load.running(),
                load.waiting(),
                load.slots(),
                load.waitingPromptTokens(),
                upstreams.sentTokens(id),
                load.prefillTokensPerSecond(),
                fleet.distanceMillis(id),
                localBlocks);
    }
}
