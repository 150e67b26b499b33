package org.cowslipbank.entry.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.config.Model;
import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.Team;
import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.SlotShares;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/** Runs prompts: admission, routing, the answer stream, and the export of blocks after each run. */
public final class PromptRunner {
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final int TICKS_PER_CAPACITY_UPDATE = 4;

    private final TrafficContext context;
    private final AdmissionGate admission;
    private final RetryGate retries;
    private final PromptRouter router;
    private final BlockExporter exporter;
    private final StoreProber prober;
    private final EventLoopProbe eventLoopProbe;
    private final Set<PromptSession> sessions = ConcurrentHashMap.newKeySet();
    private Disposable tickSubscription;
    private long ticks;

    /**
     * Creates a runner.
     *
     * @param context the dependencies of traffic handling
     */
    public PromptRunner(TrafficContext context) {
        this.context = context;
        this.admission = new AdmissionGate(context.clock(), context.fleet(), context.recorder());
        this.retries = new RetryGate(context.clock(), context.recorder());
        BlockLocator locator =
                new BlockLocator(context.systems(), context.stores(), context.configuration(), context.clock());
        this.router = new PromptRouter(
                context, locator, new SessionHints(context.settings().engineCacheMillis()));
        this.exporter = new BlockExporter(context, locator);
        this.prober = new StoreProber(context);
        this.eventLoopProbe = new EventLoopProbe(context);
    }

    /** Starts the periodic checks. */
    public void start() {
        tick();
        prober.start();
        tickSubscription = Flux.interval(TICK_PERIOD, Schedulers.newSingle("traffic-tick", true))
                .subscribe(tick -> tick());
    }

    /** Stops the periodic checks. */
    public void stop() {
        tickSubscription.dispose();
        prober.stop();
    }

    /**
     * Returns the number of admitted requests in progress.
     *
     * @return the number of requests, not including queued ones
     */
    public int inProgress() {
        return sessions.size();
    }

    /**
     * Returns whether the node is short of CPU time and should refuse new requests.
     *
     * @return true if the node is overloaded
     */
    public boolean isOverloaded() {
        return eventLoopProbe.isOverloaded();
    }

    /**
     * Stages the stored blocks of a session that is expected to send a prompt soon.
     *
     * @param team the team
     * @param session the session key
     */
    public void prefetch(Team team, SessionKey session) {
        router.prefetch(team, session);
    }

    /**
     * Runs a prompt. Cancelling the subscription cancels the run.
     *
     * @param request the request
     * @return the answer; signals {@link org.cowslipbank.model.RefusedException} if the prompt is refused or fails
     */
    public Flux<AnswerEvent> run(PromptRequest request) {
        context.metrics().requests().inc();
        retries.onRequest();
        return admission
                .acquire(request.id(), request.team(), request.model().model(), request.firstTokenDeadlineMillis())
                .publishOn(Schedulers.parallel())
                .doOnError(error -> context.metrics().refused().inc())
                .flatMapMany(permit -> runAdmitted(request, permit));
    }

    private Flux<AnswerEvent> runAdmitted(PromptRequest request, AdmissionGate.Permit permit) {
        return Flux.defer(() -> {
            PromptSession session = new PromptSession(context, router, retries, exporter, request);
            sessions.add(session);
            return session.answer().doFinally(signal -> {
                sessions.remove(session);
                permit.release(session.completed());
            });
        });
    }

    private void tick() {
        eventLoopProbe.probe();
        long nowMillis = context.clock().nowMillis();
        sessions.forEach(session -> session.tick(nowMillis));
        if (ticks++ % TICKS_PER_CAPACITY_UPDATE == 0) {
            context.configuration().get().configuration().models().forEach(model -> updateCapacity(model, nowMillis));
        }
        admission.tick();
    }

    private void updateCapacity(Model model, long nowMillis) {
        List<UpstreamId> upstreams = ConfigurationIndex.activeVersion(model)
                .map(ModelVersion::upstreams)
                .orElse(List.of());
        List<VmId> nodes = context.fleet().nodes();
        List<Capacity.UpstreamLoad> loads = new ArrayList<>();
        int ownSlots = 0;
        for (UpstreamId id : upstreams) {
            Optional<Capacity.UpstreamLoad> load =
                    context.fleet().leavingUpstreams().contains(id)
                            ? Optional.empty()
                            : context.upstreams().capacityOf(id, nowMillis);
            if (load.isPresent()) {
                loads.add(load.get());
                ownSlots += SlotShares.ownSlots(
                        id, load.get().slots(), context.fleet().self(), nodes);
            }
        }
        admission.setCapacity(model.name(), loads, nodes.size(), ownSlots);
    }
}
