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

/** Runs prompts: admission, placement, the stream of each answer, and the export of its blocks. */
public final class PromptRunner {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int TICKS_PER_CAPACITY_UPDATE = 4;

    private final TrafficContext context;
    private final AdmissionGate admission;
    private final RetryGate retries;
    private final PromptRouter router;
    private final BlockExporter exporter;
    private final StoreProber prober;
    private final EventLoopProbe loops;
    private final Set<PromptSession> sessions = ConcurrentHashMap.newKeySet();
    private Disposable ticking;
    private long ticks;

    /**
     * Creates a runner.
     *
     * @param context what it works with
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
        this.loops = new EventLoopProbe(context);
    }

    /** Starts the periodic checks. */
    public void start() {
        tick();
        prober.start();
        ticking =
                Flux.interval(TICK, Schedulers.newSingle("traffic-tick", true)).subscribe(tick -> tick());
    }

    /** Stops the periodic checks. */
    public void stop() {
        ticking.dispose();
        prober.stop();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number, queued requests not counted
     */
    public int inProgress() {
        return sessions.size();
    }

    /**
     * Tells whether the node is short of processor time, so that it should refuse new work.
     *
     * @return true if it is
     */
    public boolean isOverloaded() {
        return loops.isOverloaded();
    }

    /**
     * Stages the retained blocks of a session that is about to return.
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
     * @return the answer; an error of type {@link org.cowslipbank.model.RefusedException} where there is none
     */
    public Flux<AnswerEvent> run(PromptRequest request) {
        context.metrics().requests().inc();
        retries.onRequest();
        return admission
                .acquire(request.id(), request.team(), request.model().model(), request.firstTokenByMillis())
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
        loops.probe();
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
                ownSlots +=
                        SlotShares.own(id, load.get().slots(), context.fleet().self(), nodes);
            }
        }
        admission.setCapacity(model.name(), loads, nodes.size(), ownSlots);
    }
}
