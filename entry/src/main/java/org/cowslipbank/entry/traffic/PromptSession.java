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
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.Step;
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
 * Drives the stream machine of one answer: feeds it events one at a time and carries out its effects. Events may come
 * from any thread; a queue puts them in order.
 */
final class PromptSession {
    private static final Logger LOG = LogManager.getLogger(PromptSession.class);
    private static final int TOKENS_PER_CALLER_NOTICE = 16;
    // A meter is shared by all streams and updates several counters at each mark.
    private static final int TOKENS_PER_METER_MARK = 32;
    private static final long NO_UPSTREAM_WAIT_MILLIS = 200;

    private final TrafficContext context;
    private final PromptRouter router;
    private final RetryGate retries;
    private final BlockExporter exporter;
    private final PromptRequest request;
    private final Queue<StreamEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final List<String> emitted = new ArrayList<>();
    private final Disposable.Swap placing = Disposables.swap();
    private final long startedNanos = System.nanoTime();
    private final long fingerprint;
    private StreamState state;
    private FluxSink<AnswerEvent> sink;
    private volatile EngineReader reader;
    private Placed placed;
    private int untoldTokens;
    private int unmarkedTokens;
    private volatile UpstreamId inFlightAt;
    private volatile long nextCheckMillis = Long.MAX_VALUE;
    private volatile boolean completed;
    private volatile boolean granted;

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
        return Flux.create(this::open).doOnNext(this::taken);
    }

    boolean completed() {
        return completed;
    }

    void tick(long nowMillis) {
        if (nowMillis >= nextCheckMillis) {
            offer(new StreamEvent.Tick());
        }
    }

    private void open(FluxSink<AnswerEvent> answerSink) {
        exporter.began(request);
        sink = answerSink;
        sink.onCancel(() -> offer(new StreamEvent.CallerGone()));
        StreamSpec spec = new StreamSpec(
                request.id(),
                request.model(),
                request.streaming(),
                request.maxTokens(),
                request.firstTokenByMillis(),
                StreamLimits.DEFAULTS);
        pending.incrementAndGet();
        apply(StreamMachine.open(spec, context.clock().nowMillis()));
        drain(1);
    }

    // Called by the thread that writes to the caller, when it takes an event from the buffer.
    private void taken(AnswerEvent event) {
        if (event instanceof AnswerEvent.Token && ++untoldTokens == TOKENS_PER_CALLER_NOTICE) {
            untoldTokens = 0;
            offer(new StreamEvent.CallerTook(TOKENS_PER_CALLER_NOTICE));
        }
    }

    private void offer(StreamEvent event) {
        events.add(event);
        if (pending.getAndIncrement() == 0) {
            drain(1);
        }
    }

    private void drain(int first) {
        int missed = first;
        while (missed != 0) {
            for (StreamEvent event = events.poll(); event != null; event = events.poll()) {
                if (event instanceof StreamEvent.Failed failed) {
                    noteFailure(failed);
                }
                apply(StreamMachine.on(state, event, context.clock().nowMillis()));
            }
            missed = pending.addAndGet(-missed);
        }
    }

    private void apply(StreamTransition transition) {
        state = transition.state();
        for (StreamEffect effect : transition.effects()) {
            carryOut(effect);
        }
        nextCheckMillis = state.nextCheckMillis();
        if (state.phase().ended()) {
            release();
        }
    }

    private void carryOut(StreamEffect effect) {
        if (effect instanceof StreamEffect.Emit emit) {
            emit(emit);
        } else if (effect instanceof StreamEffect.Start start) {
            start(start);
        } else if (effect instanceof StreamEffect.Resume resume) {
            resume(resume);
        } else if (effect instanceof StreamEffect.Cancel cancel) {
            cancel(cancel);
        } else if (effect instanceof StreamEffect.Discard) {
            emitted.clear();
            sink.next(new AnswerEvent.Restarted());
        } else if (effect instanceof StreamEffect.Complete complete) {
            complete(complete.run());
        } else if (effect instanceof StreamEffect.Fail fail) {
            context.metrics().failed().inc();
            sink.error(new RefusedException(Step.GENERATE, fail.refusal()));
        } else if (effect instanceof StreamEffect.PauseReading) {
            reader.pause();
        } else if (effect instanceof StreamEffect.ContinueReading) {
            reader.proceed();
        } else if (effect instanceof StreamEffect.UpstreamGivenUp givenUp) {
            LOG.info(LogFields.event("upstream given up")
                    .request(request.id())
                    .team(request.team().id())
                    .step(Step.GENERATE)
                    .peer(givenUp.upstream().value())
                    .field("silent", givenUp.silent()));
            if (givenUp.silent()) {
                crashed(givenUp.upstream());
            }
            context.upstreams().markDown(givenUp.upstream(), context.clock().nowMillis());
        } else if (effect instanceof StreamEffect.Dropped) {
            context.metrics().droppedEvents().inc();
        }
    }

    private void emit(StreamEffect.Emit emit) {
        if (emitted.isEmpty()) {
            context.metrics().timeToFirstToken().update(System.nanoTime() - startedNanos, TimeUnit.NANOSECONDS);
        }
        emitted.add(emit.text());
        if (++unmarkedTokens == TOKENS_PER_METER_MARK) {
            markTokens();
        }
        sink.next(new AnswerEvent.Token(emit.text()));
    }

    private void markTokens() {
        context.metrics().tokens().mark(unmarkedTokens);
        unmarkedTokens = 0;
    }

    private void complete(FinishedRun run) {
        completed = true;
        context.suspects().finished(fingerprint);
        context.metrics().answered().inc();
        context.metrics().promptTokens().inc(run.promptTokens());
        context.metrics().computedPromptTokens().inc(run.promptTokens() - run.cachedTokens());
        context.metrics().importedPromptTokens().inc(run.importedTokens());
        sink.next(new AnswerEvent.Done(run));
        sink.complete();
        router.ran(request, placed);
        exporter.export(request, state.attempt().id(), placed);
    }

    private void start(StreamEffect.Start start) {
        returnGrant();
        switch (context.suspects().verdict(fingerprint)) {
            case REFUSED -> notSent(start, NotSentReason.SUSPECT_REFUSED, 0);
            case SUSPECT -> askArbiter(start);
            default -> place(start, placeWithinBudget(start, Optional.empty()));
        }
    }

    private void askArbiter(StreamEffect.Start start) {
        // A grant that the retry budget cannot use would keep its upstream from other suspects.
        if (start.number() > 1 && !isAllowed(start, retries.preview(retryQuestion(start)))) {
            return;
        }
        List<SuspectArbiter.Candidate> candidates = router.suspectCandidates(start.requiredModel(), start.avoid());
        if (candidates.isEmpty()) {
            // The arbiter would keep suspects with more tokens waiting behind one that has no upstream.
            notSent(start, NotSentReason.NO_UPSTREAM, NO_UPSTREAM_WAIT_MILLIS);
            return;
        }
        place(
                start,
                context.suspects()
                        .ask(fingerprint, start.fromToken(), candidates, () -> grantLapsed(start.attempt()))
                        .flatMap(answer -> onArbiter(start, answer)));
    }

    private Mono<Placed> onArbiter(StreamEffect.Start start, SuspectArbiter.Answer answer) {
        granted = answer.verdict() == SuspectArbiter.Verdict.RUN;
        return switch (answer.verdict()) {
            case REFUSE -> Mono.error(new NotPlacedException(NotSentReason.SUSPECT_REFUSED));
            case WAIT -> Mono.error(new NotPlacedException(NotSentReason.SUSPECT_WAITS));
            case FREE, RUN -> placeWithinBudget(start, Optional.ofNullable(answer.upstream()));
        };
    }

    private Mono<Placed> placeWithinBudget(StreamEffect.Start start, Optional<UpstreamId> upstream) {
        if (start.number() > 1 && !mayRetry(start)) {
            returnGrant();
            return Mono.empty();
        }
        return start.fromToken() == 0
                ? router.placeNew(request, start.requiredModel(), start.avoid(), upstream)
                : router.place(request, start.requiredModel(), start.avoid(), upstream);
    }

    private void place(StreamEffect.Start start, Mono<Placed> placement) {
        placing.update(placement.subscribe(result -> send(start, result), error -> notPlaced(start, error)));
    }

    private void notSent(StreamEffect.Start start, NotSentReason reason, long retryAfterMillis) {
        offer(new StreamEvent.NotSent(start.attempt(), reason, retryAfterMillis));
    }

    // The arbiter may grant the upstream to another suspect, so the run must not go on.
    private void grantLapsed(AttemptId attempt) {
        UpstreamId upstream = inFlightAt;
        EngineReader current = reader;
        if (upstream == null || current == null || !current.attempt().equals(attempt)) {
            return;
        }
        cancel(new StreamEffect.Cancel(attempt, upstream));
        offer(new StreamEvent.Failed(attempt, current.connection(), FailureKind.RUN_ABORTED));
    }

    private void returnGrant() {
        if (granted) {
            granted = false;
            context.suspects().ended(fingerprint);
        }
    }

    /** A resume that finds no engine, or one that does not know the run, shows that the engine crashed. */
    private void noteFailure(StreamEvent.Failed failed) {
        boolean current = state.phase() == StreamPhase.RUNNING
                && state.attempt().id().equals(failed.attempt())
                && state.attempt().connection() == failed.connection();
        if (!current) {
            return;
        }
        boolean crashed = failed.kind() == FailureKind.UNKNOWN_ATTEMPT
                || failed.kind() == FailureKind.NOT_REACHED && failed.connection() > 0;
        if (crashed) {
            crashed(state.attempt().upstream());
        } else if (failed.kind() == FailureKind.NOT_REACHED || failed.kind() == FailureKind.REFUSED) {
            notInFlight();
        }
    }

    private void crashed(UpstreamId upstream) {
        context.upstreams().markDown(upstream, context.clock().nowMillis());
        context.suspects().crashed(upstream);
    }

    private void notInFlight() {
        if (inFlightAt != null) {
            context.suspects().left(inFlightAt, this);
            inFlightAt = null;
        }
    }

    private boolean mayRetry(StreamEffect.Start start) {
        if (isAllowed(start, retries.ask(retryQuestion(start)))) {
            context.metrics().furtherAttempts().inc();
            return true;
        }
        return false;
    }

    private RetryQuestion retryQuestion(StreamEffect.Start start) {
        return new RetryQuestion(start.number(), state.run(), true, start.fromToken() > 0, false);
    }

    private boolean isAllowed(StreamEffect.Start start, RetryOutcome outcome) {
        if (outcome.verdict() == RetryVerdict.ALLOWED) {
            return true;
        }
        NotSentReason reason =
                outcome.verdict() == RetryVerdict.WAIT ? NotSentReason.BUDGET_EMPTY : NotSentReason.NOT_REPEATABLE;
        offer(new StreamEvent.NotSent(start.attempt(), reason, outcome.waitMillis()));
        return false;
    }

    private void notPlaced(StreamEffect.Start start, Throwable error) {
        NotSentReason reason =
                error instanceof NotPlacedException notPlaced ? notPlaced.reason() : NotSentReason.NO_UPSTREAM;
        if (!(error instanceof NotPlacedException)) {
            LOG.warn(LogFields.event("prompt not placed")
                    .request(request.id())
                    .team(request.team().id())
                    .step(Step.ROUTE)
                    .error(error));
        }
        returnGrant();
        notSent(
                start,
                reason,
                reason == NotSentReason.SUSPECT_WAITS ? SuspectService.ASK_AGAIN_MILLIS : NO_UPSTREAM_WAIT_MILLIS);
    }

    private void send(StreamEffect.Start start, Placed result) {
        offer(new StreamEvent.Sent(start.attempt(), result.upstream().id(), result.model()));
        leaveUpstream();
        placed = result;
        inFlightAt = result.upstream().id();
        context.suspects().sent(inFlightAt, this, fingerprint);
        context.upstreams().sent(result.upstream().id(), result.computeTokens());
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
                .subscribe(done -> {}, error -> LOG.debug("cancel failed: {}", error.toString())));
    }

    private Engine engine() {
        return context.systems().engine(placed.upstream().address());
    }

    private void read(AttemptId attempt, int connection, Flux<EngineEvent> stream) {
        closeReader();
        reader = new EngineReader(attempt, connection, this::offer);
        stream.subscribe(reader);
    }

    private void closeReader() {
        if (reader != null) {
            reader.cancel();
        }
    }

    private void release() {
        markTokens();
        placing.dispose();
        closeReader();
        leaveUpstream();
        returnGrant();
    }

    private void leaveUpstream() {
        notInFlight();
        if (placed != null) {
            context.upstreams().ended(placed.upstream().id());
            placed = null;
        }
    }
}
