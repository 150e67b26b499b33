package org.cowslipbank.entry.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.routing.Candidate;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.SelectionMode;
import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.OutsideSystems;
import reactor.core.publisher.Mono;

/** Chooses the upstream of a prompt and brings its retained blocks there. */
final class PromptRouter {
    private static final int BYTES_PER_TOKEN = 4;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final OutsideSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final UpstreamTable upstreams;
    private final StoreTable stores;
    private final BlockLocator locator;
    private final BlockFetcher fetcher;
    private final TeamSecrets secrets;
    private final TrafficSettings settings;
    private final FleetView fleet;
    private final SessionHints hints;
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
        this.clock = context.clock();
        this.recorder = context.recorder();
        this.locator = locator;
        this.hints = hints;
        this.fetcher = new BlockFetcher(stores, clock);
    }

    /**
     * Places a prompt.
     *
     * @param request the request
     * @param wanted the model, weight version and adapter
     * @param avoid upstreams on which attempts failed
     * @return the placement; an error of type {@link NotPlacedException} if no upstream takes it
     */
    Mono<Placed> place(PromptRequest request, ModelRef wanted, List<UpstreamId> avoid) {
        return Mono.defer(() -> {
            List<BlockIdentity> chain = chainOf(request, wanted);
            return locator.find(chain).flatMap(retained -> choose(request, wanted, avoid, chain, retained));
        });
    }

    private List<BlockIdentity> chainOf(PromptRequest request, ModelRef model) {
        byte[] secret = secrets.hashingKey(request.team().id());
        byte[] prompt = request.prompt().getBytes(StandardCharsets.UTF_8);
        return PromptChain.identities(secret, request.team().id(), model, prompt, settings.pieceBytes());
    }

    private Mono<Placed> choose(
            PromptRequest request,
            ModelRef wanted,
            List<UpstreamId> avoid,
            List<BlockIdentity> chain,
            List<BlockRef> retained) {
        RoutingInput input = input(request, wanted, avoid, chain, retained);
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
        return fetch(engine, input, outcome).map(staged -> placed(upstream.get(), wanted, input, outcome, staged));
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
                        outcome.fetchMillis(),
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

    private static Placed placed(
            Upstream upstream, ModelRef model, RoutingInput input, RoutingOutcome outcome, List<BlockIdentity> staged) {
        long cachedTokens = (long) (outcome.localBlocks() + staged.size()) * input.pieceTokens();
        long computeTokens = Math.max(1, input.promptTokens() - cachedTokens);
        return new Placed(upstream, model, input.chain(), input.retained(), staged, computeTokens);
    }

    private RoutingInput input(
            PromptRequest request,
            ModelRef wanted,
            List<UpstreamId> avoid,
            List<BlockIdentity> chain,
            List<BlockRef> retained) {
        Configuration current = configuration.get().configuration();
        String key =
                Rendezvous.key(request.team().id().value(), request.session().value());
        List<Candidate> candidates = candidates(wanted, avoid, key, chain);
        return new RoutingInput(
                request.team().id(),
                wanted,
                chain,
                request.prompt().length() / BYTES_PER_TOKEN + 1,
                settings.pieceBytes() / BYTES_PER_TOKEN,
                retained,
                candidates,
                stores.links(current.stores(), clock.nowMillis()),
                SelectionMode.FULL_SCAN,
                0,
                current.weights());
    }

    private List<Candidate> candidates(ModelRef wanted, List<UpstreamId> avoid, String key, List<BlockIdentity> chain) {
        ConfigurationIndex index = configuration.get();
        List<UpstreamId> allowed = index.model(wanted.model())
                .map(model -> allowedUpstreams(model.versions(), wanted))
                .orElse(List.of());
        List<UpstreamId> usable =
                allowed.stream().filter(id -> isUsable(index, id, avoid)).toList();
        List<Candidate> candidates = new ArrayList<>();
        for (UpstreamId id : RoutingDecision.subset(key, usable, RoutingDecision.SUBSET_SIZE)) {
            upstreams
                    .load(id, clock.nowMillis())
                    .ifPresent(load -> candidates.add(candidate(id, load, hints.localBlocks(key, id, chain))));
        }
        return candidates;
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
