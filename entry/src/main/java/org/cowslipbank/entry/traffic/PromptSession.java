package org.cowslipbank.entry.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.retry.RetryOutcome;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryVerdict;
import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.decision.streams.StreamEffect;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.decision.streams.StreamLimits;
import org.cowslipbank.decision.streams.StreamMachine;
import org.cowslipbank.decision.streams.StreamPhase;
import org.cowslipbank.decision.streams.StreamSpec;
import org.cowslipbank.decision.streams.StreamState;
import org.cowslipbank.decision.streams.StreamTransition;
import org.cowslipbank.decision.suspects.Fingerprint;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineEvent;
import org.cowslipbank.ports.GenerateCall;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;

/**
 * Drives the stream state machine of one answer: feeds it one event at a time and executes its effects. Events may
 * arrive on any thread; a queue serializes them.
 */
final class PromptSession {
    private static final Logger LOG = LogManager.getLogger(PromptSession.class);
    private static final int TOKENS_PER_CALLER_REPORT = 16;
    // All streams share one meter, and each mark updates several counters, so tokens are marked in batches.
    private static final int TOKENS_PER_METER_UPDATE = 32;
    private static final long NO_UPSTREAM_RETRY_MILLIS = 200;

    private final TrafficContext context;
    private final PromptRouter router;
    private final RetryGate retries;
    private final BlockExporter exporter;
    private final PromptRequest request;
    private final Queue<StreamEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingEvents = new AtomicInteger();
    private final List<String> emitted = new ArrayList<>();
    private final Disposable.Swap routing = Disposables.swap();
    private final long startedNanos = System.nanoTime();
    private final long fingerprint;
    private StreamState state;
    private FluxSink<AnswerEvent> sink;
    private volatile EngineReader reader;
    private RoutedPrompt routedPrompt;
    private int unreportedTokens;
    private int unmeteredTokens;
    private volatile UpstreamId inFlightUpstream;
    private volatile long nextCheckMillis = Long.MAX_VALUE;
    private volatile boolean completed;
    private volatile boolean holdsGrant;

    PromptSession(
            TrafficContext context,
            PromptRouter router,
            RetryGate retries,
            BlockExporter exporter,
            PromptRequest request) {
        this.context = context;
        this.router = router;
        this.retries = retries;
        this.exporter = exporter;
        this.request = request;
        this.fingerprint = Fingerprint.of(
                request.team().id(),
                request.model().model(),
                request.prompt().getBytes(StandardCharsets.UTF_8),
                request.maxTokens());
    }

    Flux<AnswerEvent> answer() {
        return Flux.create(this::open).doOnNext(this::onEventTaken);
    }

    boolean completed() {
        return completed;
    }

    void tick(long nowMillis) {
        if (nowMillis >= nextCheckMillis) {
            enqueue(new StreamEvent.Tick());
        }
    }

    private void open(FluxSink<AnswerEvent> answerSink) {
        exporter.recordPromptStart(request);
        sink = answerSink;
        sink.onCancel(() -> enqueue(new StreamEvent.CallerDisconnected()));
        StreamSpec spec = new StreamSpec(
                request.id(),
                request.model(),
                request.streaming(),
                request.maxTokens(),
                request.firstTokenDeadlineMillis(),
                StreamLimits.DEFAULTS);
        pendingEvents.incrementAndGet();
        apply(StreamMachine.open(spec, context.clock().nowMillis()));
        drain(1);
    }

    // Called on the thread that writes to the caller, for each event that it takes from the buffer.
    private void onEventTaken(AnswerEvent event) {
        if (event instanceof AnswerEvent.Token && ++unreportedTokens == TOKENS_PER_CALLER_REPORT) {
            unreportedTokens = 0;
            enqueue(new StreamEvent.CallerAccepted(TOKENS_PER_CALLER_REPORT));
        }
    }

    private void enqueue(StreamEvent event) {
        events.add(event);
        if (pendingEvents.getAndIncrement() == 0) {
            drain(1);
        }
    }

    private void drain(int first) {
        int missed = first;
        while (missed != 0) {
            for (StreamEvent event = events.poll(); event != null; event = events.poll()) {
                if (event instanceof StreamEvent.Failed failed) {
                    detectCrash(failed);
                }
                apply(StreamMachine.apply(state, event, context.clock().nowMillis()));
            }
            missed = pendingEvents.addAndGet(-missed);
        }
    }

    private void apply(StreamTransition transition) {
        state = transition.state();
        for (StreamEffect effect : transition.effects()) {
            execute(effect);
        }
        nextCheckMillis = state.nextCheckMillis();
        if (state.phase().hasEnded()) {
            releaseResources();
        }
    }

    private void execute(StreamEffect effect) {
        if (effect instanceof StreamEffect.Emit emit) {
            emit(emit);
        } else if (effect instanceof StreamEffect.Start start) {
            start(start);
        } else if (effect instanceof StreamEffect.Resume resume) {
            resume(resume);
        } else if (effect instanceof StreamEffect.Cancel cancel) {
            cancel(cancel);
        } else if (effect instanceof StreamEffect.DiscardTokens) {
            emitted.clear();
            sink.next(new AnswerEvent.Restarted());
        } else if (effect instanceof StreamEffect.Complete complete) {
            complete(complete.run());
        } else if (effect instanceof StreamEffect.Fail fail) {
            context.metrics().failed().inc();
            sink.error(new RefusedException(ProcessingStep.GENERATE, fail.refusal()));
        } else if (effect instanceof StreamEffect.PauseReading) {
            reader.pauseReading();
        } else if (effect instanceof StreamEffect.ContinueReading) {
            reader.continueReading();
        } else if (effect instanceof StreamEffect.UpstreamGivenUp givenUp) {
            LOG.info(LogFields.event("upstream given up")
                    .request(request.id())
                    .team(request.team().id())
                    .step(ProcessingStep.GENERATE)
                    .peer(givenUp.upstream().value())
                    .field("silent", givenUp.silent()));
            if (givenUp.silent()) {
                reportCrash(givenUp.upstream());
            }
            context.upstreams().markDown(givenUp.upstream(), context.clock().nowMillis());
        } else if (effect instanceof StreamEffect.EventDropped) {
            context.metrics().droppedEvents().inc();
        }
    }

    private void emit(StreamEffect.Emit emit) {
        if (emitted.isEmpty()) {
            context.metrics().timeToFirstToken().update(System.nanoTime() - startedNanos, TimeUnit.NANOSECONDS);
        }
        emitted.add(emit.text());
        if (++unmeteredTokens == TOKENS_PER_METER_UPDATE) {
            markTokens();
        }
        sink.next(new AnswerEvent.Token(emit.text()));
    }

    private void markTokens() {
        context.metrics().tokens().mark(unmeteredTokens);
        unmeteredTokens = 0;
    }

    private void complete(FinishedRun run) {
        completed = true;
        context.suspects().recordCompletion(fingerprint);
        context.metrics().answered().inc();
        context.metrics().promptTokens().inc(run.promptTokens());
        context.metrics().computedPromptTokens().inc(run.promptTokens() - run.cachedTokens());
        context.metrics().importedPromptTokens().inc(run.importedTokens());
        sink.next(new AnswerEvent.Done(run));
        sink.complete();
        router.recordRun(request, routedPrompt);
        exporter.export(request, state.attempt().id(), routedPrompt);
    }

    private void start(StreamEffect.Start start) {
        releaseGrant();
        switch (context.suspects().verdict(fingerprint)) {
            case REFUSED -> reportNotSent(start, NotSentReason.SUSPECT_REFUSED, 0);
            case SUSPECT -> askArbiter(start);
            default -> route(start, routeWithinBudget(start, Optional.empty()));
        }
    }

    private void askArbiter(StreamEffect.Start start) {
        // Without retry budget the grant could not be used and would block its upstream for other suspects.
        if (start.number() > 1 && !isAllowedOrReport(start, retries.preview(retryQuestion(start)))) {
            return;
        }
        List<SuspectArbiter.Candidate> candidates = router.suspectCandidates(start.requiredModel(), start.avoid());
        if (candidates.isEmpty()) {
            // The arbiter is not asked: other suspects, even with more tokens, would wait behind one without an
            // upstream.
            reportNotSent(start, NotSentReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MILLIS);
            return;
        }
        route(
                start,
                context.suspects()
                        .requestGrant(fingerprint, start.fromToken(), candidates, () -> onGrantExpired(start.attempt()))
                        .flatMap(answer -> onArbiterAnswer(start, answer)));
    }

    private Mono<RoutedPrompt> onArbiterAnswer(StreamEffect.Start start, SuspectArbiter.Answer answer) {
        holdsGrant = answer.verdict() == SuspectArbiter.Verdict.RUN;
        return switch (answer.verdict()) {
            case REFUSE -> Mono.error(new RoutingException(NotSentReason.SUSPECT_REFUSED));
            case WAIT -> Mono.error(new RoutingException(NotSentReason.SUSPECT_WAITS));
            case FREE, RUN -> routeWithinBudget(start, Optional.ofNullable(answer.upstream()));
        };
    }

    private Mono<RoutedPrompt> routeWithinBudget(StreamEffect.Start start, Optional<UpstreamId> upstream) {
        if (start.number() > 1 && !consumeRetryBudget(start)) {
            releaseGrant();
            return Mono.empty();
        }
        return start.fromToken() == 0
                ? router.routeNew(request, start.requiredModel(), start.avoid(), upstream)
                : router.route(request, start.requiredModel(), start.avoid(), upstream);
    }

    private void route(StreamEffect.Start start, Mono<RoutedPrompt> routed) {
        routing.update(routed.subscribe(result -> send(start, result), error -> onRoutingFailed(start, error)));
    }

    private void reportNotSent(StreamEffect.Start start, NotSentReason reason, long retryAfterMillis) {
        enqueue(new StreamEvent.NotSent(start.attempt(), reason, retryAfterMillis));
    }

    // The arbiter may now grant the upstream to another suspect, so the run must not continue.
    private void onGrantExpired(AttemptId attempt) {
        UpstreamId upstream = inFlightUpstream;
        EngineReader current = reader;
        if (upstream == null || current == null || !current.attempt().equals(attempt)) {
            return;
        }
        cancel(new StreamEffect.Cancel(attempt, upstream));
        enqueue(new StreamEvent.Failed(attempt, current.connection(), FailureKind.RUN_ABORTED));
    }

    private void releaseGrant() {
        if (holdsGrant) {
            holdsGrant = false;
            context.suspects().releaseGrant(fingerprint);
        }
    }

    /** Reports a crash if a resume cannot reach the engine or the engine does not know the run. */
    private void detectCrash(StreamEvent.Failed failed) {
        boolean current = state.phase() == StreamPhase.RUNNING
                && state.attempt().id().equals(failed.attempt())
                && state.attempt().connection() == failed.connection();
        if (!current) {
            return;
        }
        boolean engineCrashed = failed.kind() == FailureKind.UNKNOWN_ATTEMPT
                || failed.kind() == FailureKind.NOT_REACHED && failed.connection() > 0;
        if (engineCrashed) {
            reportCrash(state.attempt().upstream());
        } else if (failed.kind() == FailureKind.NOT_REACHED || failed.kind() == FailureKind.REFUSED) {
            removeFromInFlight();
        }
    }

    private void reportCrash(UpstreamId upstream) {
        context.upstreams().markDown(upstream, context.clock().nowMillis());
        context.suspects().recordCrash(upstream);
    }

    private void removeFromInFlight() {
        if (inFlightUpstream != null) {
            context.suspects().removeInFlight(inFlightUpstream, this);
            inFlightUpstream = null;
        }
    }

    private boolean consumeRetryBudget(StreamEffect.Start start) {
        if (isAllowedOrReport(start, retries.decide(retryQuestion(start)))) {
            context.metrics().furtherAttempts().inc();
            return true;
        }
        return false;
    }

    private RetryQuestion retryQuestion(StreamEffect.Start start) {
        return new RetryQuestion(start.number(), state.combinedRunState(), true, start.fromToken() > 0, false);
    }

    /** Returns whether the retry is allowed; otherwise reports to the stream machine why it was not sent. */
    private boolean isAllowedOrReport(StreamEffect.Start start, RetryOutcome outcome) {
        if (outcome.verdict() == RetryVerdict.ALLOWED) {
            return true;
        }
        NotSentReason reason =
                outcome.verdict() == RetryVerdict.WAIT ? NotSentReason.BUDGET_EMPTY : NotSentReason.NOT_REPEATABLE;
        enqueue(new StreamEvent.NotSent(start.attempt(), reason, outcome.waitMillis()));
        return false;
    }

    private void onRoutingFailed(StreamEffect.Start start, Throwable error) {
        NotSentReason reason =
                error instanceof RoutingException routingError ? routingError.reason() : NotSentReason.NO_UPSTREAM;
        if (!(error instanceof RoutingException)) {
            LOG.warn(LogFields.event("cannot route prompt")
                    .request(request.id())
                    .team(request.team().id())
                    .step(ProcessingStep.ROUTE)
                    .error(error));
        }
        releaseGrant();
        reportNotSent(
                start,
                reason,
                reason == NotSentReason.SUSPECT_WAITS ? SuspectService.ASK_AGAIN_MILLIS : NO_UPSTREAM_RETRY_MILLIS);
    }

    private void send(StreamEffect.Start start, RoutedPrompt result) {
        enqueue(new StreamEvent.Sent(start.attempt(), result.upstream().id(), result.model()));
        detachFromUpstream();
        routedPrompt = result;
        inFlightUpstream = result.upstream().id();
        context.suspects().addInFlight(inFlightUpstream, this, fingerprint);
        context.upstreams().recordRunSent(result.upstream().id(), result.computeTokens());
        GenerateCall call = new GenerateCall(
                start.attempt(),
                request.team().id(),
                result.model(),
                request.prompt(),
                emitted.subList(0, start.fromToken()),
                context.settings().pieceBytes(),
                result.staged(),
                context.secrets().cacheSalt(request.team().id()),
                request.maxTokens() - start.fromToken(),
                0);
        read(start.attempt(), 0, engine().generate(call));
    }

    private void resume(StreamEffect.Resume resume) {
        context.metrics().resumes().inc();
        read(resume.attempt(), resume.connection(), engine().resume(resume.attempt(), resume.fromToken()));
    }

    private void cancel(StreamEffect.Cancel cancel) {
        context.metrics().cancelled().inc();
        context.configuration().get().upstream(cancel.upstream()).ifPresent(upstream -> context.systems()
                .engine(upstream.address())
                .cancel(cancel.attempt())
                .subscribe(
                        done -> {},
                        error -> LOG.debug(
                                "cannot cancel attempt {} at {}: {}",
                                cancel.attempt().value(),
                                upstream.address(),
                                error.toString())));
    }

    private Engine engine() {
        return context.systems().engine(routedPrompt.upstream().address());
    }

    private void read(AttemptId attempt, int connection, Flux<EngineEvent> stream) {
        closeReader();
        reader = new EngineReader(attempt, connection, this::enqueue);
        stream.subscribe(reader);
    }

    private void closeReader() {
        if (reader != null) {
            reader.cancel();
        }
    }

    private void releaseResources() {
        markTokens();
        routing.dispose();
        closeReader();
        detachFromUpstream();
        releaseGrant();
    }

    private void detachFromUpstream() {
        removeFromInFlight();
        if (routedPrompt != null) {
            context.upstreams().recordRunEnd(routedPrompt.upstream().id());
            routedPrompt = null;
        }
    }
}
