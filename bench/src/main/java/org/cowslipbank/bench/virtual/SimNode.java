package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.cowslipbank.decision.admission.AdmissionAnswer;
import org.cowslipbank.decision.admission.AdmissionQueue;
import org.cowslipbank.decision.admission.AdmissionRelease;
import org.cowslipbank.decision.admission.AdmissionRequest;
import org.cowslipbank.decision.admission.Capacity;
import org.cowslipbank.decision.admission.SlotShares;
import org.cowslipbank.decision.retry.RetryOutcome;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryState;
import org.cowslipbank.decision.retry.RetryVerdict;
import org.cowslipbank.decision.retry.UpstreamCircuitBreaker;
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

/** Models an entry node: runs the same pure decisions as a node and applies their effects to the simulation. */
final class SimNode {
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long DEFAULT_PATIENCE_MILLIS = 60_000;
    private static final long REROUTE_DELAY_MILLIS = 200;
    private static final long FIRST_RUN_ESTIMATE_MILLIS = 2_000;

    /**
     * 99.9th percentile of the time until a full engine frees a slot: 16 runs of 2 s end every 125 ms on average, and
     * the gaps are roughly exponential.
     */
    private static final long SLOT_WAIT_P999_MILLIS = 875;

    /** Interval within which a node reports a crash of the same upstream only once. */
    private static final long CRASH_REPORT_INTERVAL_MILLIS = 3_000;

    final VmId id;
    CopyGuard guard = new CopyGuard(MAX_RUN_MILLIS);
    SuspectFacts suspectFacts = SuspectFacts.NONE;
    final AdmissionQueue admission = new AdmissionQueue(0, FIRST_RUN_ESTIMATE_MILLIS);
    private final SimulatedDeployment deployment;
    private final List<SimStream> streams = new ArrayList<>();
    private final Map<AdmissionRequest, SimStream> queued = new HashMap<>();
    private final Map<UpstreamId, EngineReport> reports = new LinkedHashMap<>();
    private final Map<UpstreamId, Long> crashReportedMillis = new HashMap<>();
    private RetryState retry = RetryPolicy.start(0);

    /** The latest load report of an engine, with this node's own runs there. */
    private static final class EngineReport {
        SimEngine engine;
        int running;
        int waiting;
        int ownInFlightAtReport;
        int ownSlots;
        int ownInFlight;
        boolean usable;
        UpstreamCircuitBreaker health = UpstreamCircuitBreaker.CLOSED;

        /** This node's own runs are known exactly; those of other nodes are as old as the report. */
        int load() {
            return Math.max(0, running + waiting - ownInFlightAtReport) + ownInFlight;
        }

        boolean hasOwnSlot() {
            return ownInFlight < ownSlots;
        }
    }

    SimNode(SimulatedDeployment deployment, VmId id) {
        this.deployment = deployment;
        this.id = id;
    }

    void submit(SimCaller caller) {
        retry = RetryPolicy.onRequest(retry, now());
        SimStream stream = new SimStream(this, caller);
        if (!deployment.options.admission()) {
            open(stream);
            return;
        }
        long patienceMillis = caller.request.patienceMillis();
        // Time to reserve before the deadline; a request sent later would miss it with its first token.
        long firstTokenReserveMillis =
                2 * (deployment.options.prefillMillis() + SimulatedDeployment.LATENCY_MILLIS) + SLOT_WAIT_P999_MILLIS;
        long sendByMillis =
                now() + (patienceMillis > 0 ? patienceMillis : DEFAULT_PATIENCE_MILLIS) - firstTokenReserveMillis;
        AdmissionRequest request = new AdmissionRequest(caller.request.id(), caller.request.team(), 1, sendByMillis);
        AdmissionAnswer answer = admission.offer(request, deployment.shares.apply(caller.request.team()), now());
        stream.admissionRequest = request;
        switch (answer.verdict()) {
            case REFUSED -> caller.onFailed(answer.refusal(), now());
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
        renewReservations();
    }

    void refreshReports() {
        for (SimEngine engine : deployment.engines) {
            EngineReport report = reports.computeIfAbsent(engine.id, key -> new EngineReport());
            report.engine = engine;
            report.running = engine.running;
            report.waiting = engine.waiting();
            report.ownInFlightAtReport = report.ownInFlight;
            report.ownSlots = SlotShares.ownSlots(engine.id, deployment.options.slots(), id, deployment.nodeIds());
            report.usable = engine.alive && !engine.draining && !engine.loading && !deployment.isLeaving(engine.id);
        }
        if (deployment.options.admission()) {
            release(admission.setCapacity(capacity(), now()));
        }
    }

    private Capacity.Outcome capacity() {
        List<Capacity.UpstreamLoad> loads = reports.values().stream()
                .filter(report -> report.usable)
                .map(report -> new Capacity.UpstreamLoad(
                        deployment.options.slots(),
                        report.running,
                        report.waiting,
                        report.ownInFlight - report.ownInFlightAtReport))
                .toList();
        int ownSlots = reports.values().stream()
                .filter(report -> report.usable)
                .mapToInt(report -> report.ownSlots)
                .sum();
        Capacity.Input input = new Capacity.Input(
                loads, deployment.options.nodes(), ownSlots, admission.inFlight(), admission.modestReserve());
        return Capacity.derive(input);
    }

    SimStream randomStream(SimStream other) {
        return streams.isEmpty() ? other : streams.get(deployment.random.nextInt(streams.size()));
    }

    void onEvent(SimStream stream, StreamEvent event) {
        if (event instanceof StreamEvent.Failed failed) {
            recordFailure(stream, failed);
        }
        apply(stream, StreamMachine.apply(stream.state, event, now()));
    }

    private long now() {
        return deployment.clock.nowMillis();
    }

    private void openAdmitted(SimStream stream) {
        stream.admittedMillis = now();
        open(stream);
    }

    private void open(SimStream stream) {
        SimRequest request = stream.caller.request;
        long deadlineMillis = request.patienceMillis() > 0 ? stream.caller.sentMillis + request.patienceMillis() : 0;
        StreamSpec spec = new StreamSpec(
                request.id(), deployment.activeModel, request.streaming(), 0, deadlineMillis, StreamLimits.DEFAULTS);
        streams.add(stream);
        apply(stream, StreamMachine.open(spec, now()));
    }

    private void apply(SimStream stream, StreamTransition transition) {
        stream.state = transition.state();
        int emitted = 0;
        for (StreamEffect effect : transition.effects()) {
            emitted += effect instanceof StreamEffect.Emit ? 1 : 0;
            execute(stream, effect);
        }
        if (emitted > 0 && stream.caller.request.streaming()) {
            acknowledgeTokens(stream, emitted);
        }
    }

    private void execute(SimStream stream, StreamEffect effect) {
        if (effect instanceof StreamEffect.Emit emit) {
            emit(stream, emit);
        } else if (effect instanceof StreamEffect.Start start) {
            detachFromUpstream(stream, false);
            deployment.clock.after(SimulatedDeployment.LATENCY_MILLIS, () -> route(stream, start));
        } else if (effect instanceof StreamEffect.Resume resume) {
            SimEngine engine = deployment.engine(resume.upstream());
            SimLink link = new SimLink(deployment, stream, resume.attempt(), resume.connection());
            stream.link = link;
            deployment.clock.after(
                    SimulatedDeployment.LATENCY_MILLIS,
                    () -> engine.resume(resume.attempt(), resume.fromToken(), link));
        } else if (effect instanceof StreamEffect.Cancel cancel) {
            SimEngine engine = deployment.engine(cancel.upstream());
            deployment.clock.after(SimulatedDeployment.LATENCY_MILLIS, () -> engine.cancel(cancel.attempt()));
        } else if (effect instanceof StreamEffect.Complete complete) {
            stream.bufferedTexts.forEach(text -> stream.caller.onToken(stream.caller.tokens.size(), text, now()));
            stream.caller.onCompleted(complete.run(), now());
            end(stream, true);
        } else if (effect instanceof StreamEffect.Fail fail) {
            stream.caller.onFailed(fail.refusal(), now());
            end(stream, false);
        } else if (effect instanceof StreamEffect.DiscardTokens) {
            stream.bufferedTexts.clear();
        } else if (effect instanceof StreamEffect.PauseReading) {
            stream.link.pauseReading();
        } else if (effect instanceof StreamEffect.ContinueReading) {
            stream.link.continueReading();
        } else if (effect instanceof StreamEffect.UpstreamGivenUp givenUp && givenUp.silent()) {
            probe(givenUp.upstream());
        }
    }

    private void emit(SimStream stream, StreamEffect.Emit emit) {
        SimRequest request = stream.caller.request;
        if (!request.streaming()) {
            stream.bufferedTexts.add(emit.text());
            return;
        }
        stream.caller.onToken(emit.index(), emit.text(), now());
        if (request.leaveAfterTokens() == stream.caller.tokens.size()) {
            stream.caller.disconnected = true;
            deployment.clock.after(SimulatedDeployment.LATENCY_MILLIS, () -> {
                onEvent(stream, new StreamEvent.CallerDisconnected());
                end(stream, false);
            });
        }
    }

    private void acknowledgeTokens(SimStream stream, int tokens) {
        long readMillis = stream.caller.request.readMillis();
        if (readMillis == 0) {
            stream.state = StreamMachine.apply(stream.state, new StreamEvent.CallerAccepted(tokens), now())
                    .state();
            return;
        }
        stream.unreadTokens += tokens;
        if (!stream.reading) {
            stream.reading = true;
            deployment.clock.after(readMillis, () -> takeOneToken(stream));
        }
    }

    private void takeOneToken(SimStream stream) {
        stream.unreadTokens--;
        stream.reading = stream.unreadTokens > 0;
        if (stream.reading) {
            deployment.clock.after(stream.caller.request.readMillis(), () -> takeOneToken(stream));
        }
        onEvent(stream, new StreamEvent.CallerAccepted(1));
    }

    private void end(SimStream stream, boolean finished) {
        if (!streams.remove(stream)) {
            return;
        }
        detachFromUpstream(stream, finished);
        long fingerprint = stream.caller.request.fingerprint();
        if (finished) {
            SuspectFacts cleared = suspectFacts.withFinished(fingerprint, now());
            shareSuspectFacts(fingerprint, cleared);
        }
        if (stream.admissionRequest != null) {
            long inFlightMillis = now() - stream.admittedMillis;
            release(admission.recordEnd(stream.admissionRequest, inFlightMillis, finished, now()));
        }
    }

    private void detachFromUpstream(SimStream stream, boolean finished) {
        long fingerprint = stream.caller.request.fingerprint();
        if (stream.sentTo != null) {
            EngineReport report = reports.get(stream.sentTo);
            report.ownInFlight--;
            report.health = finished ? report.health.onSuccess() : report.health;
            stream.sentTo = null;
        }
        if (stream.guardedAttempt != null) {
            deployment.guardOf(fingerprint).guard.recordEnd(fingerprint, stream.guardedAttempt, finished);
            stream.guardedAttempt = null;
        }
        if (stream.reservedUpstream != null) {
            deployment.arbiter.releaseGrant(fingerprint, id);
            deployment.exclusiveUpstreams.remove(stream.reservedUpstream);
            stream.reservedUpstream = null;
        }
    }

    private void release(AdmissionRelease release) {
        for (AdmissionRelease.Refused refused : release.refused()) {
            SimStream stream = queued.remove(refused.request());
            stream.caller.onFailed(refused.refusal(), now());
        }
        release.admitted().forEach(request -> openAdmitted(queued.remove(request)));
    }

    /**
     * Chooses the model version of a run. A continuation keeps the version that produced its first tokens. A new run
     * uses the active version or, during a rollout, any loaded version with a free slot if no active engine has one.
     */
    private StreamEffect.Start selectVersion(StreamEffect.Start start) {
        if (start.fromToken() > 0) {
            return start;
        }
        StreamEffect.Start active = withModel(start, deployment.activeModel);
        boolean activeHasFreeSlot =
                reports.values().stream().anyMatch(report -> canRun(report, active) && hasFreeSlot(report));
        if (activeHasFreeSlot) {
            return active;
        }
        return reports.values().stream()
                .filter(report -> report.usable && hasFreeSlot(report))
                .min(Comparator.comparingInt(EngineReport::load))
                .map(report -> withModel(start, report.engine.loaded))
                .orElse(active);
    }

    private static StreamEffect.Start withModel(StreamEffect.Start start, ModelRef model) {
        return new StreamEffect.Start(start.attempt(), start.number(), 0, model, start.avoid());
    }

    private boolean hasFreeSlot(EngineReport report) {
        return report.load() < deployment.options.slots();
    }

    private void route(SimStream stream, StreamEffect.Start asked) {
        StreamEffect.Start start = selectVersion(asked);
        boolean stillOpening = stream.state.phase() == StreamPhase.OPENING
                && stream.state.attempt().id().equals(start.attempt());
        if (!stillOpening) {
            return;
        }
        Optional<EngineReport> preferred = preferredEngine(start);
        if (preferred.isEmpty()) {
            boolean versionGone = start.fromToken() > 0 && deployment.noEngineWith(start.requiredModel());
            notSent(
                    stream,
                    start.attempt(),
                    versionGone ? NotSentReason.NO_SUCH_VERSION : NotSentReason.NO_UPSTREAM,
                    REROUTE_DELAY_MILLIS);
            return;
        }
        long fingerprint = stream.caller.request.fingerprint();
        SimNode guardNode = deployment.guardOf(fingerprint);
        CopyGuard.Answer answer = guardNode.guard.ask(
                fingerprint, start.attempt(), id, preferred.get().engine.id, guardNode.suspectFacts, now());
        switch (answer.verdict()) {
            case REFUSE -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_REFUSED, 0);
            case ASK_ARBITER -> askArbiter(stream, start, preferred.get());
            case SEND -> {
                stream.guardedAttempt = start.attempt();
                sendWithinBudget(stream, start, reports.get(answer.upstream()));
            }
            default -> throw new IllegalStateException("unknown verdict " + answer.verdict());
        }
    }

    private void askArbiter(SimStream stream, StreamEffect.Start start, EngineReport preferred) {
        long fingerprint = stream.caller.request.fingerprint();
        List<SuspectArbiter.Candidate> candidates = reports.values().stream()
                .filter(report -> canRun(report, start))
                .map(report -> new SuspectArbiter.Candidate(report.engine.id, report.load()))
                .toList();
        SuspectArbiter.Question question = new SuspectArbiter.Question(
                fingerprint,
                id,
                candidates,
                start.fromToken(),
                deployment.guardOf(fingerprint).guard.hasNoCopyInFlight(fingerprint, now()));
        SuspectArbiter.Answer answer = deployment.arbiter.ask(question, deployment.arbiterNode().suspectFacts, now());
        switch (answer.verdict()) {
            case REFUSE -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_REFUSED, 0);
            case WAIT -> notSent(stream, start.attempt(), NotSentReason.SUSPECT_WAITS, answer.askAgainMillis());
            case FREE -> sendWithinBudget(stream, start, preferred);
            case RUN -> {
                stream.reservedUpstream = answer.upstream();
                if (answer.alone()) {
                    deployment.exclusiveUpstreams.add(answer.upstream());
                }
                sendWithinBudget(stream, start, reports.get(answer.upstream()));
            }
            default -> throw new IllegalStateException("unknown verdict " + answer.verdict());
        }
    }

    private void sendWithinBudget(SimStream stream, StreamEffect.Start start, EngineReport report) {
        if (!canRun(report, start)) {
            detachFromUpstream(stream, false);
            notSent(stream, start.attempt(), NotSentReason.NO_UPSTREAM, REROUTE_DELAY_MILLIS);
            return;
        }
        if (start.number() > 1) {
            RetryQuestion question = new RetryQuestion(
                    start.number(),
                    stream.state.combinedRunState(),
                    start.fromToken() == 0,
                    start.fromToken() > 0,
                    false);
            RetryOutcome outcome = RetryPolicy.decide(retry, question, now());
            retry = outcome.state();
            if (outcome.verdict() != RetryVerdict.ALLOWED) {
                detachFromUpstream(stream, false);
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
        report.ownInFlight++;
        stream.sentTo = engine.id;
        report.health = report.health.onAttemptSent(now());
        stream.caller.attempts++;
        onEvent(stream, new StreamEvent.Sent(start.attempt(), engine.id, start.requiredModel()));
        SimLink link = new SimLink(deployment, stream, start.attempt(), 0);
        stream.link = link;
        SimRun run = new SimRun(start.attempt(), stream.caller, start.fromToken(), link);
        deployment.clock.after(SimulatedDeployment.LATENCY_MILLIS, () -> engine.generate(run));
    }

    private void notSent(SimStream stream, AttemptId attempt, NotSentReason reason, long retryAfterMillis) {
        onEvent(stream, new StreamEvent.NotSent(attempt, reason, retryAfterMillis));
    }

    private Optional<EngineReport> preferredEngine(StreamEffect.Start start) {
        Comparator<EngineReport> byEarlierFailure =
                Comparator.comparing(report -> start.avoid().contains(report.engine.id));
        return reports.values().stream()
                .filter(report -> canRun(report, start) && !deployment.exclusiveUpstreams.contains(report.engine.id))
                .filter(report -> report.health.allowsAttempt(now()))
                .min(byEarlierFailure
                        .thenComparing(report -> !report.hasOwnSlot())
                        .thenComparingInt(EngineReport::load)
                        .thenComparingInt(report -> Objects.hash(id, report.engine.id, now())));
    }

    private static boolean canRun(EngineReport report, StreamEffect.Start start) {
        return report != null && report.usable && report.engine.loaded.equals(start.requiredModel());
    }

    /**
     * Updates engine health. If a resume cannot reach the engine, or the engine does not know the attempt, the engine
     * has crashed.
     */
    private void recordFailure(SimStream stream, StreamEvent.Failed failed) {
        boolean current = stream.state.phase() == StreamPhase.RUNNING
                && stream.state.attempt().id().equals(failed.attempt())
                && stream.state.attempt().connection() == failed.connection();
        if (!current) {
            return;
        }
        UpstreamId upstream = stream.state.attempt().upstream();
        boolean countsAsFailure = failed.kind() != FailureKind.BROKEN && failed.kind() != FailureKind.REFUSED;
        if (countsAsFailure) {
            reports.get(upstream).health = reports.get(upstream).health.onFailure(now());
        }
        boolean notReached = failed.kind() == FailureKind.NOT_REACHED;
        boolean crashed = notReached && failed.connection() > 0 || failed.kind() == FailureKind.UNKNOWN_ATTEMPT;
        if (notReached || crashed || failed.kind() == FailureKind.REFUSED) {
            // Excluded from routing until the next report.
            reports.get(upstream).usable = false;
        }
        if (crashed) {
            reportCrash(upstream);
        }
    }

    private void probe(UpstreamId upstream) {
        if (!deployment.engine(upstream).alive) {
            reports.get(upstream).usable = false;
            reportCrash(upstream);
        }
    }

    private void reportCrash(UpstreamId upstream) {
        long last = crashReportedMillis.getOrDefault(upstream, Long.MIN_VALUE / 2);
        if (now() - last < CRASH_REPORT_INTERVAL_MILLIS) {
            return;
        }
        crashReportedMillis.put(upstream, now());
        List<Long> fingerprints = streams.stream()
                .filter(stream -> stream.runsAt(upstream))
                .map(stream -> stream.caller.request.fingerprint())
                .toList();
        SuspectFacts reported = suspectFacts.withCrash(upstream, fingerprints, now());
        SimNode arbiterNode = deployment.arbiterNode();
        arbiterNode.suspectFacts = deployment.arbiter.recordCrash(upstream, arbiterNode.suspectFacts, now());
        suspectFacts = suspectFacts.merge(reported.crashes(), reported.clears(), now());
        for (long fingerprint : fingerprints) {
            shareSuspectFacts(fingerprint, reported);
            SimNode guardNode = deployment.guardOf(fingerprint);
            guardNode
                    .guard
                    .upstreamOf(fingerprint, now())
                    .filter(placedUpstream -> !placedUpstream.equals(upstream))
                    .ifPresent(placedUpstream ->
                            deployment.arbiter.reserveForCopies(placedUpstream, fingerprint, guardNode.id, now()));
        }
    }

    private void shareSuspectFacts(long fingerprint, SuspectFacts update) {
        suspectFacts = suspectFacts.merge(update.crashes(), update.clears(), now());
        for (SimNode owner : List.of(
                deployment.guardOf(fingerprint), deployment.nextGuardOf(fingerprint), deployment.arbiterNode())) {
            owner.suspectFacts = owner.suspectFacts.merge(update.crashes(), update.clears(), now());
        }
    }

    /** Clears this node's copy guard, as after a membership change that moves the guard to another node. */
    void resetGuard() {
        guard = new CopyGuard(MAX_RUN_MILLIS);
    }

    /** Reports the attempts in flight to the guards of their fingerprints. */
    void reportAttemptsToGuards() {
        for (SimStream stream : streams) {
            if (stream.guardedAttempt != null && stream.sentTo != null) {
                long fingerprint = stream.caller.request.fingerprint();
                deployment
                        .guardOf(fingerprint)
                        .guard
                        .recordInFlight(fingerprint, stream.guardedAttempt, id, stream.sentTo, now());
            }
        }
    }

    private void renewReservations() {
        streams.stream()
                .filter(stream -> stream.reservedUpstream != null)
                .forEach(stream -> deployment.arbiter.renew(stream.caller.request.fingerprint(), id, now()));
    }
}
