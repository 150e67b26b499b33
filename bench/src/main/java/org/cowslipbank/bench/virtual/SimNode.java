package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.cowslipbank.decision.admission.Admission;
import org.cowslipbank.decision.admission.AdmissionAnswer;
import org.cowslipbank.decision.admission.AdmissionRelease;
import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.SlotShares;
import org.cowslipbank.decision.retry.RetryOutcome;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryState;
import org.cowslipbank.decision.retry.RetryVerdict;
import org.cowslipbank.decision.retry.UpstreamHealth;
import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.decision.streams.StreamEffect;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.decision.streams.StreamLimits;
import org.cowslipbank.decision.streams.StreamMachine;
import org.cowslipbank.decision.streams.StreamPhase;
import org.cowslipbank.decision.streams.StreamSpec;
import org.cowslipbank.decision.streams.StreamTransition;
import org.cowslipbank.decision.suspects.CopyGuard;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.decision.suspects.SuspectFacts;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** A model of an entry node: it drives the decisions as the node's shell does. */
final class SimNode {
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long DEFAULT_PATIENCE_MILLIS = 60_000;
    private static final long ROUTE_AGAIN_MILLIS = 200;
    private static final long FIRST_RUN_ESTIMATE_MILLIS = 2_000;

    /**
     * Time in which a busy engine frees a slot with a probability of 0.999: 16 runs of 2 s end every 125 ms on average,
     * and the gaps are about exponential.
     */
    private static final long SLOT_WAIT_MILLIS = 875;

    /** One crash of an upstream is reported once by a node. */
    private static final long REPORT_ONCE_MILLIS = 3_000;

    final VmId id;
    CopyGuard guard = new CopyGuard(MAX_RUN_MILLIS);
    SuspectFacts facts = SuspectFacts.NONE;
    final Admission admission = new Admission(0, FIRST_RUN_ESTIMATE_MILLIS);
    private final World world;
    private final List<SimStream> streams = new ArrayList<>();
    private final Map<AdmissionRequest, SimStream> queued = new HashMap<>();
    private final Map<UpstreamId, EngineReport> reports = new LinkedHashMap<>();
    private final Map<UpstreamId, Long> crashReportedMillis = new HashMap<>();
    private RetryState retry = RetryPolicy.start(0);

    /** What this node knows of an engine. */
    private static final class EngineReport {
        SimEngine engine;
        int running;
        int waiting;
        int ownAtReport;
        int ownSlots;
        int own;
        boolean usable;
        UpstreamHealth health = UpstreamHealth.GOOD;

        /** Work of this node is known exactly, that of others as reported. */
        int load() {
            return Math.max(0, running + waiting - ownAtReport) + own;
        }

        boolean hasOwnSlot() {
            return own < ownSlots;
        }
    }

    SimNode(World world, VmId id) {
        this.world = world;
        this.id = id;
    }

    void submit(SimCaller caller) {
        retry = RetryPolicy.onRequest(retry, now());
        SimStream stream = new SimStream(this, caller);
        if (!world.options.admission()) {
            open(stream);
            return;
        }
        long patienceMillis = caller.request.patienceMillis();
        // A request that is sent later than this has its first token after the deadline.
        long startMillis = 2 * (world.options.prefillMillis() + World.LATENCY_MILLIS) + SLOT_WAIT_MILLIS;
        long sendByMillis = now() + (patienceMillis > 0 ? patienceMillis : DEFAULT_PATIENCE_MILLIS) - startMillis;
        AdmissionRequest request = new AdmissionRequest(caller.request.id(), caller.request.team(), 1, sendByMillis);
        AdmissionAnswer answer = admission.offer(request, world.shares.apply(caller.request.team()), now());
        stream.admitted = request;
        switch (answer.verdict()) {
            case REFUSED -> caller.failed(answer.refusal(), now());
            case QUEUED -> queued.put(request, stream);
            case ADMITTED -> openAdmitted(stream);
            default -> throw new IllegalStateException("unknown verdict " + answer.verdict());
        }
    }

    void tickAdmission() {
        release(admission.tick(now()));
    }

    void tickStreams() {
        for (SimStream stream : List.copyOf(streams)) {
            if (stream.state.nextCheckMillis() <= now()) {
                onEvent(stream, new StreamEvent.Tick());
            }
        }
        renewGrants();
    }

    void refreshReports() {
        for (SimEngine engine : world.engines) {
            EngineReport report = reports.computeIfAbsent(engine.id, key -> new EngineReport());
            report.engine = engine;
            report.running = engine.running;
            report.waiting = engine.waiting();
            report.ownAtReport = report.own;
            report.ownSlots = SlotShares.own(engine.id, world.options.slots(), id, world.nodeIds());
            report.usable = engine.alive && !engine.draining && !engine.loading && !world.leaving(engine.id);
        }
        if (world.options.admission()) {
            release(admission.capacity(capacity(), now()));
        }
    }

    private Capacity.Outcome capacity() {
        List<Capacity.UpstreamLoad> loads = reports.values().stream()
                .filter(report -> report.usable)
                .map(report -> new Capacity.UpstreamLoad(
                        world.options.slots(), report.running, report.waiting, report.own - report.ownAtReport))
                .toList();
        int ownSlots = reports.values().stream()
                .filter(report -> report.usable)
                .mapToInt(report -> report.ownSlots)
                .sum();
        Capacity.Input input =
                new Capacity.Input(loads, world.options.nodes(), ownSlots, admission.inFlight(), admission.keptFree());
        return Capacity.derive(input);
    }

    SimStream anyStream(SimStream other) {
        return streams.isEmpty() ? other : streams.get(world.random.nextInt(streams.size()));
    }

    void onEvent(SimStream stream, StreamEvent event) {
        if (event instanceof StreamEvent.Failed failed) {
            noteFailure(stream, failed);
        }
        apply(stream, StreamMachine.on(stream.state, event, now()));
    }

    private long now() {
        return world.clock.nowMillis();
    }

    private void openAdmitted(SimStream stream) {
        stream.admittedMillis = now();
        open(stream);
    }

    private void open(SimStream stream) {
        SimRequest request = stream.caller.request;
        long deadlineMillis = request.patienceMillis() > 0 ? stream.caller.sentMillis + request.patienceMillis() : 0;
        StreamSpec spec = new StreamSpec(
                request.id(), world.activeModel, request.streaming(), 0, deadlineMillis, StreamLimits.DEFAULTS);
        streams.add(stream);
        apply(stream, StreamMachine.open(spec, now()));
    }

    private void apply(SimStream stream, StreamTransition transition) {
        stream.state = transition.state();
        int emitted = 0;
        for (StreamEffect effect : transition.effects()) {
            emitted += effect instanceof StreamEffect.Emit ? 1 : 0;
            carryOut(stream, effect);
        }
        if (emitted > 0 && stream.caller.request.streaming()) {
            read(stream, emitted);
        }
    }

    private void carryOut(SimStream stream, StreamEffect effect) {
        if (effect instanceof StreamEffect.Emit emit) {
            emit(stream, emit);
        } else if (effect instanceof StreamEffect.Start start) {
            leaveUpstream(stream, false);
            world.clock.after(World.LATENCY_MILLIS, () -> route(stream, start));
        } else if (effect instanceof StreamEffect.Resume resume) {
            SimEngine engine = world.engine(resume.upstream());
            SimLink link = new SimLink(world, stream, resume.attempt(), resume.connection());
            stream.link = link;
            world.clock.after(World.LATENCY_MILLIS, () -> engine.resume(resume.attempt(), resume.fromToken(), link));
        } else if (effect instanceof StreamEffect.Cancel cancel) {
            SimEngine engine = world.engine(cancel.upstream());
            world.clock.after(World.LATENCY_MILLIS, () -> engine.cancel(cancel.attempt()));
        } else if (effect instanceof StreamEffect.Complete complete) {
            stream.collected.forEach(text -> stream.caller.token(stream.caller.tokens.size(), text, now()));
            stream.caller.completed(complete.run(), now());
            end(stream, true);
        } else if (effect instanceof StreamEffect.Fail fail) {
            stream.caller.failed(fail.refusal(), now());
            end(stream, false);
        } else if (effect instanceof StreamEffect.Discard) {
            stream.collected.clear();
        } else if (effect instanceof StreamEffect.PauseReading) {
            stream.link.pause();
        } else if (effect instanceof StreamEffect.ContinueReading) {
            stream.link.proceed();
        } else if (effect instanceof StreamEffect.UpstreamGivenUp givenUp && givenUp.silent()) {
            probe(givenUp.upstream());
        }
    }

    private void emit(SimStream stream, StreamEffect.Emit emit) {
        SimRequest request = stream.caller.request;
        if (!request.streaming()) {
            stream.collected.add(emit.text());
            return;
        }
        stream.caller.token(emit.index(), emit.text(), now());
        if (request.leaveAfterTokens() == stream.caller.tokens.size()) {
            stream.caller.gone = true;
            world.clock.after(World.LATENCY_MILLIS, () -> {
                onEvent(stream, new StreamEvent.CallerGone());
                end(stream, false);
            });
        }
    }

    private void read(SimStream stream, int tokens) {
        long readMillis = stream.caller.request.readMillis();
        if (readMillis == 0) {
            stream.state = StreamMachine.on(stream.state, new StreamEvent.CallerTook(tokens), now())
                    .state();
            return;
        }
        stream.unread += tokens;
        if (!stream.reading) {
            stream.reading = true;
            world.clock.after(readMillis, () -> readOne(stream));
        }
    }

    private void readOne(SimStream stream) {
        stream.unread--;
        stream.reading = stream.unread > 0;
        if (stream.reading) {
            world.clock.after(stream.caller.request.readMillis(), () -> readOne(stream));
        }
        onEvent(stream, new StreamEvent.CallerTook(1));
    }

    private void end(SimStream stream, boolean finished) {
        if (!streams.remove(stream)) {
            return;
        }
        leaveUpstream(stream, finished);
        long print = stream.caller.request.fingerprint();
        if (finished) {
            SuspectFacts cleared = facts.finished(print, now());
            tellOwners(print, cleared);
        }
        if (stream.admitted != null) {
            long inFlightMillis = now() - stream.admittedMillis;
            release(admission.ended(stream.admitted, inFlightMillis, finished, now()));
        }
    }

    private void leaveUpstream(SimStream stream, boolean finished) {
        long print = stream.caller.request.fingerprint();
        if (stream.sentTo != null) {
            EngineReport report = reports.get(stream.sentTo);
            report.own--;
            report.health = finished ? report.health.succeeded() : report.health;
            stream.sentTo = null;
        }
        if (stream.guarded != null) {
            world.guardOf(print).guard.ended(print, stream.guarded, finished);
            stream.guarded = null;
        }
        if (stream.granted != null) {
            world.arbiter.ended(print, id);
            world.exclusive.remove(stream.granted);
            stream.granted = null;
        }
    }

    private void release(AdmissionRelease release) {
        for (AdmissionRelease.Refused refused : release.refused()) {
            SimStream stream = queued.remove(refused.request());
            stream.caller.failed(refused.refusal(), now());
        }
        release.admitted().forEach(request -> openAdmitted(queued.remove(request)));
    }

    /**
     * Chooses the version of a new run; a continuation needs the version of its tokens. During a version change the
     * engines of the old version take what those of the active one have no free slot for.
     */
    private StreamEffect.Start onActiveVersion(StreamEffect.Start start) {
        if (start.fromToken() > 0) {
            return start;
        }
        StreamEffect.Start active = withModel(start, world.activeModel);
        boolean roomOnActive = reports.values().stream().anyMatch(report -> mayRun(report, active) && hasRoom(report));
        if (roomOnActive) {
            return active;
        }
        return reports.values().stream()
                .filter(report -> report.usable && hasRoom(report))
                .min(Comparator.comparingInt(EngineReport::load))
                .map(report -> withModel(start, report.engine.loaded))
                .orElse(active);
    }

    private static StreamEffect.Start withModel(StreamEffect.Start start, ModelRef model) {
        return new StreamEffect.Start(start.attempt(), start.number(), 0, model, start.avoid());
    }

    private boolean hasRoom(EngineReport report) {
        return report.load() < world.options.slots();
    }

    private void route(SimStream stream, StreamEffect.Start asked) {
        StreamEffect.Start start = onActiveVersion(asked);
        boolean waitsFor = stream.state.phase() == StreamPhase.OPENING
                && stream.state.attempt().id().equals(start.attempt());
        if (!waitsFor) {
            return;
        }
        Optional<EngineReport> preferred = prefer(start);
        if (preferred.isEmpty()) {
            boolean versionGone = start.fromToken() > 0 && world.noEngineWith(start.requiredModel());
            notSent(
                    stream,
                    start.attempt(),
                    versionGone ? NotSentReason.NO_SUCH_VERSION : NotSentReason.NO_UPSTREAM,
                    ROUTE_AGAIN_MILLIS);
            return;
        }
        long print = stream.caller.request.fingerprint();
        SimNode guardNode = world.guardOf(print);
        CopyGuard.Answer answer =
                guardNode.guard.ask(print, start.attempt(), id, preferred.get().engine.id, guardNode.facts, now());
        switch (answer.verdict()) {
            case REFUSE -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_REFUSED, 0);
            case ASK_ARBITER -> askArbiter(stream, start, preferred.get());
            case SEND -> {
                stream.guarded = start.attempt();
                sendWithinBudget(stream, start, reports.get(answer.upstream()));
            }
            default -> throw new IllegalStateException("unknown verdict " + answer.verdict());
        }
    }

    private void askArbiter(SimStream stream, StreamEffect.Start start, EngineReport preferred) {
        long print = stream.caller.request.fingerprint();
        List<SuspectArbiter.Candidate> candidates = reports.values().stream()
                .filter(report -> mayRun(report, start))
                .map(report -> new SuspectArbiter.Candidate(report.engine.id, report.load()))
                .toList();
        SuspectArbiter.Question question = new SuspectArbiter.Question(
                print,
                id,
                candidates,
                start.fromToken(),
                world.guardOf(print).guard.noCopyInFlight(print, now()));
        SuspectArbiter.Answer answer = world.arbiter.ask(question, world.arbiterNode().facts, now());
        switch (answer.verdict()) {
            case REFUSE -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_REFUSED, 0);
            case WAIT -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_WAITS, answer.askAgainMillis());
            case FREE -> sendWithinBudget(stream, start, preferred);
            case RUN -> {
                stream.granted = answer.upstream();
                if (answer.alone()) {
                    world.exclusive.add(answer.upstream());
                }
                sendWithinBudget(stream, start, reports.get(answer.upstream()));
            }
            default -> throw new IllegalStateException("unknown verdict " + answer.verdict());
        }
    }

    private void sendWithinBudget(SimStream stream, StreamEffect.Start start, EngineReport report) {
        if (!mayRun(report, start)) {
            leaveUpstream(stream, false);
            notSent(stream, start.attempt(), NotSentReason.NO_UPSTREAM, ROUTE_AGAIN_MILLIS);
            return;
        }
        if (start.number() > 1) {
            RetryQuestion question = new RetryQuestion(
                    start.number(), stream.state.run(), start.fromToken() == 0, start.fromToken() > 0, false);
            RetryOutcome outcome = RetryPolicy.decide(retry, question, now());
            retry = outcome.state();
            if (outcome.verdict() != RetryVerdict.ALLOWED) {
                leaveUpstream(stream, false);
                boolean wait = outcome.verdict() == RetryVerdict.WAIT;
                NotSentReason reason = wait ? NotSentReason.BUDGET_EMPTY : NotSentReason.NOT_REPEATABLE;
                notSent(stream, start.attempt(), reason, outcome.waitMillis());
                return;
            }
        }
        send(stream, start, report);
    }

    private void send(SimStream stream, StreamEffect.Start start, EngineReport report) {
        SimEngine engine = report.engine;
        report.own++;
        stream.sentTo = engine.id;
        report.health = report.health.sent(now());
        stream.caller.attempts++;
        onEvent(stream, new StreamEvent.Sent(start.attempt(), engine.id, start.requiredModel()));
        SimLink link = new SimLink(world, stream, start.attempt(), 0);
        stream.link = link;
        SimRun run = new SimRun(start.attempt(), stream.caller, start.fromToken(), link);
        world.clock.after(World.LATENCY_MILLIS, () -> engine.generate(run));
    }

    private void notSent(SimStream stream, AttemptId attempt, NotSentReason reason, long retryAfterMillis) {
        onEvent(stream, new StreamEvent.NotSent(attempt, reason, retryAfterMillis));
    }

    private Optional<EngineReport> prefer(StreamEffect.Start start) {
        Comparator<EngineReport> byFailure =
                Comparator.comparing(report -> start.avoid().contains(report.engine.id));
        return reports.values().stream()
                .filter(report -> mayRun(report, start) && !world.exclusive.contains(report.engine.id))
                .filter(report -> report.health.mayTry(now()))
                .min(byFailure
                        .thenComparing(report -> !report.hasOwnSlot())
                        .thenComparingInt(EngineReport::load)
                        .thenComparingInt(report -> Objects.hash(id, report.engine.id, now())));
    }

    private static boolean mayRun(EngineReport report, StreamEffect.Start start) {
        return report != null && report.usable && report.engine.loaded.equals(start.requiredModel());
    }

    /** A resume that finds no engine, or one that does not know the run, shows that the engine crashed. */
    private void noteFailure(SimStream stream, StreamEvent.Failed failed) {
        boolean current = stream.state.phase() == StreamPhase.RUNNING
                && stream.state.attempt().id().equals(failed.attempt())
                && stream.state.attempt().connection() == failed.connection();
        if (!current) {
            return;
        }
        UpstreamId upstream = stream.state.attempt().upstream();
        boolean fault = failed.kind() != FailureKind.BROKEN && failed.kind() != FailureKind.REFUSED;
        if (fault) {
            reports.get(upstream).health = reports.get(upstream).health.failed(now());
        }
        boolean unreached = failed.kind() == FailureKind.NOT_REACHED;
        boolean crashed = unreached && failed.connection() > 0 || failed.kind() == FailureKind.UNKNOWN_ATTEMPT;
        if (unreached || crashed || failed.kind() == FailureKind.REFUSED) {
            // Known to take no work until the next report says otherwise.
            reports.get(upstream).usable = false;
        }
        if (crashed) {
            reportCrash(upstream);
        }
    }

    private void probe(UpstreamId upstream) {
        if (!world.engine(upstream).alive) {
            reports.get(upstream).usable = false;
            reportCrash(upstream);
        }
    }

    private void reportCrash(UpstreamId upstream) {
        long last = crashReportedMillis.getOrDefault(upstream, Long.MIN_VALUE / 2);
        if (now() - last < REPORT_ONCE_MILLIS) {
            return;
        }
        crashReportedMillis.put(upstream, now());
        List<Long> prints = streams.stream()
                .filter(stream -> stream.runsAt(upstream))
                .map(stream -> stream.caller.request.fingerprint())
                .toList();
        SuspectFacts reported = facts.crashed(upstream, prints, now());
        SimNode arbiterNode = world.arbiterNode();
        arbiterNode.facts = world.arbiter.upstreamCrashed(upstream, arbiterNode.facts, now());
        facts = facts.merge(reported.crashes(), reported.clears(), now());
        prints.forEach(print -> tellOwners(print, reported));
    }

    private void tellOwners(long print, SuspectFacts told) {
        facts = facts.merge(told.crashes(), told.clears(), now());
        for (SimNode owner : List.of(world.guardOf(print), world.nextGuardOf(print), world.arbiterNode())) {
            owner.facts = owner.facts.merge(told.crashes(), told.clears(), now());
        }
    }

    /** Loses what this node knew as a guard, as if another node had taken over. */
    void loseGuard() {
        guard = new CopyGuard(MAX_RUN_MILLIS);
    }

    /** Reports the copies in flight to their guards. */
    void reportCopies() {
        for (SimStream stream : streams) {
            if (stream.guarded != null && stream.sentTo != null) {
                long print = stream.caller.request.fingerprint();
                world.guardOf(print).guard.restore(print, stream.guarded, id, stream.sentTo, now());
            }
        }
    }

    private void renewGrants() {
        streams.stream()
                .filter(stream -> stream.granted != null)
                .forEach(stream -> world.arbiter.renew(stream.caller.request.fingerprint(), id, now()));
    }
}
