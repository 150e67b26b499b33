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
import org.cowslipbank.decision.routing.PrefetchDecision;
import org.cowslipbank.decision.routing.PrefetchInput;
import org.cowslipbank.decision.routing.RoutingCandidate;
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
import org.cowslipbank.ports.ExternalSystems;
import reactor.core.publisher.Mono;

/** Chooses the upstream for a prompt and fetches the prompt's stored blocks to it. */
final class PromptRouter {
    private static final int ESTIMATED_BYTES_PER_TOKEN = 4;
    private static final double MILLIS_PER_SECOND = 1_000;
    // Most endpoint lookups precede a prompt; the others only renew an answer that is about to expire.
    private static final double PROMPT_AFTER_LOOKUP_PROBABILITY = 0.8;
    private static final double MAX_PREFETCH_MILLIS = 2_000;

    private final ExternalSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final UpstreamTable upstreams;
    private final StoreTable stores;
    private final BlockLocator locator;
    private final BlockFetcher fetcher;
    private final TeamSecrets secrets;
    private final TrafficSettings settings;
    private final FleetState fleet;
    private final SuspectService suspects;
    private final SessionHints hints;
    private final PrefetchCache prefetches = new PrefetchCache();
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
     * Routes a prompt that has emitted no token. While no upstream has the requested version loaded, for example during
     * a rollout, the prompt runs on another version of the model.
     *
     * @param request the request
     * @param requested the model, weight version and adapter
     * @param avoid upstreams on which earlier attempts failed
     * @param grantedUpstream the upstream that the arbiter granted to a suspect request; empty for other requests
     * @return the routed prompt; signals {@link RoutingException} if no upstream can take it now
     */
    Mono<RoutedPrompt> routeNew(
            PromptRequest request, ModelRef requested, List<UpstreamId> avoid, Optional<UpstreamId> grantedUpstream) {
        Mono<RoutedPrompt> result = route(request, requested, avoid, grantedUpstream);
        for (ModelRef other : otherVersions(requested)) {
            result = result.onErrorResume(
                    PromptRouter::isVersionMissing, error -> route(request, other, avoid, grantedUpstream));
        }
        return result.onErrorMap(
                PromptRouter::isVersionMissing, error -> new RoutingException(NotSentReason.NO_UPSTREAM));
    }

    private static boolean isVersionMissing(Throwable error) {
        return error instanceof RoutingException routingError && routingError.reason() == NotSentReason.NO_SUCH_VERSION;
    }

    private List<ModelRef> otherVersions(ModelRef requested) {
        return configuration.get().model(requested.model()).stream()
                .flatMap(model -> model.versions().stream())
                .filter(version -> !version.weightVersion().equals(requested.weightVersion()))
                .filter(version ->
                        requested.adapter().isEmpty() || version.adapters().contains(requested.adapter()))
                .map(version -> new ModelRef(requested.model(), version.weightVersion(), requested.adapter()))
                .toList();
    }

    /**
     * Routes a prompt to an upstream that has the requested version loaded.
     *
     * @param request the request
     * @param requested the model, weight version and adapter
     * @param avoid upstreams on which earlier attempts failed
     * @param grantedUpstream the only upstream that a suspect request may use; empty for other requests
     * @return the routed prompt; signals {@link RoutingException} if no upstream can take it now
     */
    Mono<RoutedPrompt> route(
            PromptRequest request, ModelRef requested, List<UpstreamId> avoid, Optional<UpstreamId> grantedUpstream) {
        return Mono.defer(() -> {
            List<BlockIdentity> chain = blockChain(request, requested);
            PromptOutline prompt = new PromptOutline(
                    request.team(),
                    request.session(),
                    requested,
                    chain,
                    request.prompt().length());
            return Mono.zip(locator.find(chain), prefetches.await(key(request.team(), request.session())))
                    .flatMap(found ->
                            choose(prompt, id -> isEligible(id, avoid, grantedUpstream), found.getT1(), found.getT2()));
        });
    }

    /**
     * Stages the stored blocks of a session that has looked up its endpoints, so that an engine holds them when the
     * prompt arrives. Does nothing for a session without a recent run on the active version.
     *
     * @param team the team
     * @param session the session key
     */
    void prefetch(Team team, SessionKey session) {
        String key = key(team, session);
        Optional<PromptOutline> run = prefetches.lastRun(key).filter(last -> isActiveVersion(last.model()));
        if (run.isEmpty() || prefetches.hasPrefetch(key)) {
            return;
        }
        PromptOutline last = run.get();
        prefetches.start(key, locator.find(last.chain()).flatMap(retained -> stage(last, retained)));
    }

    private boolean isActiveVersion(ModelRef ran) {
        return configuration
                .get()
                .model(ran.model())
                .filter(model -> model.activeVersion().equals(ran.weightVersion()))
                .isPresent();
    }

    private Mono<PrefetchCache.StagedBlocks> stage(PromptOutline last, List<BlockRef> retained) {
        RoutingInput expected = routingInput(
                last, id -> isEligible(id, List.of(), Optional.empty()), retained, PrefetchCache.StagedBlocks.NONE);
        RoutingOutcome outcome = recorder.decide(
                PrefetchDecision.PREFETCH,
                new PrefetchInput(expected, PROMPT_AFTER_LOOKUP_PROBABILITY, MAX_PREFETCH_MILLIS));
        boolean useful = outcome.result() == RoutingOutcome.Result.CHOSEN
                && outcome.localBlocks() == 0
                && !outcome.fetch().isEmpty();
        Optional<Upstream> upstream = useful ? configuration.get().upstream(outcome.upstream()) : Optional.empty();
        if (upstream.isEmpty()) {
            return Mono.just(PrefetchCache.StagedBlocks.NONE);
        }
        return fetch(systems.engine(upstream.get().address()), expected, outcome)
                .map(blocks -> new PrefetchCache.StagedBlocks(outcome.upstream(), blocks));
    }

    /** Records where a prompt ran, for the next prompt of its session. */
    void recordRun(PromptRequest request, RoutedPrompt routed) {
        String key = key(request.team(), request.session());
        hints.recordRun(key, routed.upstream().id(), routed.chain());
        prefetches.recordRun(key, request, routed);
    }

    private static String key(Team team, SessionKey session) {
        return Rendezvous.key(team.id().value(), session.value());
    }

    private List<BlockIdentity> blockChain(PromptRequest request, ModelRef model) {
        byte[] secret = secrets.hashingKey(request.team().id());
        byte[] prompt = request.prompt().getBytes(StandardCharsets.UTF_8);
        return PromptChain.identities(secret, request.team().id(), model, prompt, settings.pieceBytes());
    }

    private Mono<RoutedPrompt> choose(
            PromptOutline prompt,
            Predicate<UpstreamId> eligible,
            List<BlockRef> retained,
            PrefetchCache.StagedBlocks staged) {
        RoutingInput input = routingInput(prompt, eligible, retained, staged);
        RoutingOutcome outcome = recorder.decide(RoutingDecision.ROUTE, input);
        if (outcome.result() != RoutingOutcome.Result.CHOSEN) {
            NotSentReason reason = outcome.result() == RoutingOutcome.Result.NO_MATCHING_VERSION
                    ? NotSentReason.NO_SUCH_VERSION
                    : NotSentReason.NO_UPSTREAM;
            return Mono.error(new RoutingException(reason));
        }
        Optional<Upstream> upstream = configuration.get().upstream(outcome.upstream());
        if (upstream.isEmpty()) {
            return Mono.error(new RoutingException(NotSentReason.NO_UPSTREAM));
        }
        Engine engine = systems.engine(upstream.get().address());
        List<BlockIdentity> prefetched = staged.matchingPrefix(outcome.upstream(), prompt.chain());
        return fetch(engine, input, outcome)
                .map(fetched ->
                        routedPrompt(upstream.get(), prompt.model(), input, outcome, concat(prefetched, fetched)));
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

    private static List<BlockIdentity> concat(List<BlockIdentity> prefetched, List<BlockIdentity> fetched) {
        List<BlockIdentity> all = new ArrayList<>(prefetched);
        all.addAll(fetched);
        return List.copyOf(all);
    }

    private static RoutedPrompt routedPrompt(
            Upstream upstream, ModelRef model, RoutingInput input, RoutingOutcome outcome, List<BlockIdentity> staged) {
        int lastStaged = staged.isEmpty() ? 0 : staged.get(staged.size() - 1).pieceIndex() + 1;
        long cachedTokens = (long) Math.max(outcome.localBlocks(), lastStaged) * input.pieceTokens();
        long computeTokens = Math.max(1, input.promptTokens() - cachedTokens);
        return new RoutedPrompt(upstream, model, input.chain(), input.retained(), staged, computeTokens);
    }

    private RoutingInput routingInput(
            PromptOutline prompt,
            Predicate<UpstreamId> eligible,
            List<BlockRef> retained,
            PrefetchCache.StagedBlocks staged) {
        Configuration current = configuration.get().configuration();
        return new RoutingInput(
                prompt.team().id(),
                prompt.model(),
                prompt.chain(),
                prompt.promptBytes() / ESTIMATED_BYTES_PER_TOKEN + 1,
                settings.pieceBytes() / ESTIMATED_BYTES_PER_TOKEN,
                retained,
                candidates(prompt, eligible, staged),
                stores.links(current.stores(), clock.nowMillis()),
                current.weights());
    }

    private List<RoutingCandidate> candidates(
            PromptOutline prompt, Predicate<UpstreamId> eligible, PrefetchCache.StagedBlocks staged) {
        ModelRef requested = prompt.model();
        List<BlockIdentity> chain = prompt.chain();
        String key = key(prompt.team(), prompt.session());
        ConfigurationIndex index = configuration.get();
        List<UpstreamId> usable =
                allowedUpstreams(index, requested).stream().filter(eligible).toList();
        List<RoutingCandidate> candidates = new ArrayList<>();
        for (UpstreamId id : RoutingDecision.subset(key, usable, RoutingDecision.SUBSET_SIZE)) {
            int local = Math.max(
                    hints.localBlocks(key, id, chain),
                    staged.matchingPrefix(id, chain).size());
            upstreams.load(id, clock.nowMillis()).ifPresent(load -> candidates.add(candidate(id, load, local)));
        }
        return candidates;
    }

    /**
     * Returns the upstreams on which a suspect request may run.
     *
     * @param requested the model, weight version and adapter
     * @param avoid upstreams on which earlier attempts failed
     * @return the upstreams, each with its number of requests in flight
     */
    List<SuspectArbiter.Candidate> suspectCandidates(ModelRef requested, List<UpstreamId> avoid) {
        List<SuspectArbiter.Candidate> candidates = new ArrayList<>();
        for (UpstreamId id : allowedUpstreams(configuration.get(), requested)) {
            Optional<EngineLoad> load =
                    isUsable(configuration.get(), id, avoid) ? upstreams.load(id, clock.nowMillis()) : Optional.empty();
            load.filter(report -> hasVersion(report, requested))
                    .ifPresent(report -> candidates.add(new SuspectArbiter.Candidate(
                            id, Math.max(report.running() + report.waiting(), upstreams.inFlight(id)))));
        }
        return candidates;
    }

    private static boolean hasVersion(EngineLoad load, ModelRef requested) {
        return !load.loading()
                && load.loaded().model().equals(requested.model())
                && load.loaded().weightVersion().equals(requested.weightVersion());
    }

    private boolean isEligible(UpstreamId id, List<UpstreamId> avoid, Optional<UpstreamId> grantedUpstream) {
        boolean allowed = grantedUpstream.map(id::equals).orElseGet(() -> !suspects.isReserved(id));
        return allowed && isUsable(configuration.get(), id, avoid);
    }

    private static List<UpstreamId> allowedUpstreams(ConfigurationIndex index, ModelRef requested) {
        return index.model(requested.model())
                .map(model -> allowedUpstreams(model.versions(), requested))
                .orElse(List.of());
    }

    private static List<UpstreamId> allowedUpstreams(List<ModelVersion> versions, ModelRef requested) {
        return versions.stream()
                .filter(version -> version.weightVersion().equals(requested.weightVersion()))
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

    private RoutingCandidate candidate(UpstreamId id, EngineLoad load, int localBlocks) {
        return new RoutingCandidate(
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
