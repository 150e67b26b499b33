package org.cowslipbank.decision.streams;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;

/** Pure state machine of one answer. */
public final class StreamMachine {
    /** The transition as a decision that can be recorded and replayed. */
    public static final Decision<StreamInput, StreamTransition> DECISION = new Decision<>(
            "stream",
            StreamInput.class,
            StreamTransition.class,
            input -> apply(input.state(), input.event(), input.nowMillis()));

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int CALLER_TIMEOUT = 408;

    /** Retry delay suggested to the caller after all attempts failed; the window of the retry budget is 10 s. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private StreamMachine() {}

    /**
     * Opens a stream and requests the first attempt.
     *
     * @param spec the request
     * @param nowMillis the time in milliseconds
     * @return the initial state and its effects
     */
    public static StreamTransition open(StreamSpec spec, long nowMillis) {
        Attempt first = Attempt.unsent(attemptId(spec.request(), 1), 1, spec.model(), 0, nowMillis);
        StreamState state = new StreamState(
                spec,
                StreamPhase.OPENING,
                first,
                spec.model(),
                0,
                0,
                StreamState.NEVER,
                RunState.NOT_RUN,
                StreamState.NEVER,
                StreamState.NEVER,
                List.of());
        return new StreamTransition(state, List.of(startEffect(state)));
    }

    /**
     * Applies an event.
     *
     * @param state the state before the event
     * @param event the event
     * @param nowMillis the time in milliseconds, from the same monotonic clock for all events of a stream
     * @return the new state and the actions to carry out
     */
    public static StreamTransition apply(StreamState state, StreamEvent event, long nowMillis) {
        if (event instanceof StreamEvent.Token token) {
            return onToken(state, token, nowMillis);
        }
        if (event instanceof StreamEvent.Heartbeat heartbeat) {
            return onHeartbeat(state, heartbeat, nowMillis);
        }
        if (event instanceof StreamEvent.Tick) {
            return onTick(state, nowMillis);
        }
        if (event instanceof StreamEvent.CallerAccepted took) {
            return onCallerTook(state, took, nowMillis);
        }
        if (event instanceof StreamEvent.Started started) {
            return onStarted(state, started, nowMillis);
        }
        if (event instanceof StreamEvent.Finished finished) {
            return onFinished(state, finished, nowMillis);
        }
        if (event instanceof StreamEvent.Failed failed) {
            return onFailed(state, failed, nowMillis);
        }
        if (event instanceof StreamEvent.Sent sent) {
            return onSent(state, sent, nowMillis);
        }
        if (event instanceof StreamEvent.NotSent notSent) {
            return onNotSent(state, notSent, nowMillis);
        }
        return onCallerGone(state);
    }

    private static StreamTransition onSent(StreamState state, StreamEvent.Sent sent, long nowMillis) {
        boolean awaited = state.phase() == StreamPhase.OPENING && isCurrent(state, sent.attempt());
        if (!awaited) {
            // The stream ended or started another attempt during routing, so nobody reads this run.
            return transition(state, new StreamEffect.Cancel(sent.attempt(), sent.upstream()));
        }
        StreamState next = state.withSentAttempt(state.attempt().asSent(sent.upstream(), sent.expected(), nowMillis));
        if (state.emitted() > 0 && !sent.expected().equals(state.model())) {
            return giveUp(next, nowMillis, false, true);
        }
        return next.readingPaused()
                ? transition(next, new StreamEffect.PauseReading(sent.attempt()))
                : transition(next);
    }

    private static StreamTransition onNotSent(StreamState state, StreamEvent.NotSent notSent, long nowMillis) {
        if (state.phase() != StreamPhase.OPENING || !isCurrent(state, notSent.attempt())) {
            return transition(state);
        }
        boolean restartable = state.emitted() > 0 && !state.spec().streaming();
        if (notSent.reason() == NotSentReason.NO_SUCH_VERSION && restartable) {
            return restart(state, nowMillis);
        }
        long sinceMillis = state.waitSinceMillis() == StreamState.NEVER ? nowMillis : state.waitSinceMillis();
        long untilMillis = nowMillis + Math.max(1, notSent.retryAfterMillis());
        boolean first = state.attempt().number() == 1;
        StreamLimits limits = state.spec().limits();
        long longestMillis =
                notSent.reason() == NotSentReason.SUSPECT_WAITS ? limits.suspectWaitMillis() : limits.retryWaitMillis();
        boolean inTime = untilMillis - sinceMillis <= longestMillis && untilMillis < state.firstTokenDeadlineMillis();
        if (notSent.reason().temporary() && inTime && !first) {
            return transition(state.withWait(untilMillis, sinceMillis));
        }
        long retryAfterMillis = notSent.reason().temporary() ? Math.max(1, notSent.retryAfterMillis()) : 0;
        return fail(state, notSent.reason().code(), "no further attempt is possible", retryAfterMillis);
    }

    // A non-streaming caller has received nothing yet, so the prompt can be run again from the first token.
    private static StreamTransition restart(StreamState state, long nowMillis) {
        StreamState discarded = state.withoutTokens();
        Attempt newAttempt = Attempt.unsent(
                state.attempt().id(), state.attempt().number(), state.spec().model(), 0, nowMillis);
        StreamState next = discarded.withNextAttempt(newAttempt, state.earlierRun(), state.avoid());
        return transition(next, new StreamEffect.DiscardTokens(), startEffect(next));
    }

    private static StreamTransition onStarted(StreamState state, StreamEvent.Started started, long nowMillis) {
        if (!isRunning(state, started.attempt())) {
            return dropEvent(state, started.attempt());
        }
        if (!started.ran().equals(state.attempt().expected())) {
            StreamState ran = state.withAttempt(state.attempt().withRun(RunState.RAN));
            return giveUp(ran, nowMillis, false, true);
        }
        return transition(state.withAttempt(state.attempt().withStart(nowMillis)));
    }

    private static StreamTransition onToken(StreamState state, StreamEvent.Token token, long nowMillis) {
        if (!isRunning(state, token.attempt())) {
            return dropEvent(state, token.attempt());
        }
        boolean currentConnection = token.connection() == state.attempt().connection();
        if (!state.attempt().verified() || token.index() > state.emitted()) {
            // Events are missing on this connection. Gaps on an old connection do not matter.
            return currentConnection ? reconnect(state, nowMillis) : dropEvent(state, token.attempt());
        }
        if (token.index() < state.emitted()) {
            StreamState next =
                    currentConnection ? state.withAttempt(state.attempt().withEventAt(nowMillis)) : state;
            return dropEvent(next, token.attempt());
        }
        StreamState next = state.withEmittedToken(state.attempt().withNewToken(nowMillis));
        StreamEffect emit = new StreamEffect.Emit(token.index(), token.text());
        int unread = next.emitted() - next.taken();
        if (next.readingPaused()
                || !next.spec().streaming()
                || unread <= next.spec().limits().maxUnreadTokens()) {
            return transition(next, emit);
        }
        StreamState paused = next.withReadProgress(next.taken(), nowMillis, next.attempt());
        return transition(paused, emit, new StreamEffect.PauseReading(token.attempt()));
    }

    private static StreamTransition onHeartbeat(StreamState state, StreamEvent.Heartbeat beat, long nowMillis) {
        boolean current = isRunning(state, beat.attempt())
                && beat.connection() == state.attempt().connection();
        return current
                ? transition(state.withAttempt(state.attempt().withEventAt(nowMillis)))
                : dropEvent(state, beat.attempt());
    }

    private static StreamTransition onFinished(StreamState state, StreamEvent.Finished finished, long nowMillis) {
        if (!isRunning(state, finished.attempt())) {
            return dropEvent(state, finished.attempt());
        }
        int expected = state.attempt().fromToken() + finished.run().completionTokens();
        boolean currentConnection = finished.connection() == state.attempt().connection();
        if (!state.attempt().verified() || state.emitted() < expected) {
            return currentConnection ? reconnect(state, nowMillis) : dropEvent(state, finished.attempt());
        }
        if (state.emitted() > expected) {
            return fail(state, "inconsistent_answer", "the engine sent more tokens than it counted", 0);
        }
        FinishedRun whole = finished.run().withCompletionTokens(state.emitted());
        return transition(state.withPhase(StreamPhase.COMPLETE), new StreamEffect.Complete(whole));
    }

    private static StreamTransition onFailed(StreamState state, StreamEvent.Failed failed, long nowMillis) {
        boolean current = isRunning(state, failed.attempt())
                && failed.connection() == state.attempt().connection();
        if (!current) {
            return transition(state);
        }
        return switch (failed.kind()) {
            case BROKEN -> reconnect(state, nowMillis);
            case NOT_REACHED, REFUSED -> giveUp(withNotRunOnFirstConnection(state), nowMillis, false, false);
            case UNKNOWN_ATTEMPT, UPSTREAM_DOWN, RUN_ABORTED -> giveUp(state, nowMillis, false, false);
        };
    }

    // Only on an attempt's first connection does a failed connect or a refusal prove that it did not run.
    private static StreamState withNotRunOnFirstConnection(StreamState state) {
        Attempt attempt = state.attempt();
        boolean nothingDelivered = attempt.connection() == 0 && attempt.run() == RunState.UNKNOWN;
        return nothingDelivered ? state.withAttempt(attempt.withRun(RunState.NOT_RUN)) : state;
    }

    private static StreamTransition onCallerTook(StreamState state, StreamEvent.CallerAccepted took, long nowMillis) {
        int taken = Math.min(state.emitted(), state.taken() + took.tokens());
        int unread = state.emitted() - taken;
        boolean caughtUp = unread <= state.spec().limits().maxUnreadTokens() / 2;
        if (!state.readingPaused() || !caughtUp || state.phase().hasEnded()) {
            return transition(state.withReadProgress(taken, state.pausedAtMillis(), state.attempt()));
        }
        // The engine was not read during the pause, so its timeouts start now.
        Attempt attempt = state.attempt().withEventAt(nowMillis).withTokenAt(nowMillis);
        StreamState reading = state.withReadProgress(taken, StreamState.NEVER, attempt);
        return transition(reading, new StreamEffect.ContinueReading(attempt.id()));
    }

    private static StreamTransition onCallerGone(StreamState state) {
        if (state.phase().hasEnded()) {
            return transition(state);
        }
        StreamState next = state.withPhase(StreamPhase.CANCELLED);
        return state.phase() == StreamPhase.RUNNING ? transition(next, cancelEffect(state)) : transition(next);
    }

    private static StreamTransition onTick(StreamState state, long nowMillis) {
        if (state.phase().hasEnded()) {
            return transition(state);
        }
        if (nowMillis >= state.firstTokenDeadlineMillis()) {
            return fail(state, "deadline_exceeded", "no token arrived before the deadline", 0);
        }
        if (state.phase() == StreamPhase.WAITING && nowMillis >= state.waitUntilMillis()) {
            StreamState opening = state.withPhase(StreamPhase.OPENING);
            return transition(opening, startEffect(opening));
        }
        if (state.phase() != StreamPhase.RUNNING) {
            return transition(state);
        }
        if (state.readingPaused()) {
            boolean stalled =
                    nowMillis >= state.pausedAtMillis() + state.spec().limits().callerStallMillis();
            return stalled ? fail(state, "caller_too_slow", "the caller stopped reading", 0) : transition(state);
        }
        if (nowMillis >= state.attempt().heardAtMillis() + state.spec().limits().silenceMillis()) {
            return reconnect(state, nowMillis);
        }
        return nowMillis >= state.progressDeadlineMillis() ? giveUp(state, nowMillis, false, true) : transition(state);
    }

    private static StreamTransition reconnect(StreamState state, long nowMillis) {
        Attempt attempt = state.attempt();
        if (attempt.resumes() >= state.spec().limits().maxResumes()) {
            return giveUp(state, nowMillis, true, true);
        }
        StreamState next = state.withAttempt(attempt.withNextConnection(nowMillis));
        StreamEffect resume =
                new StreamEffect.Resume(attempt.id(), next.attempt().connection(), attempt.upstream(), state.emitted());
        return state.readingPaused()
                ? transition(next, resume, new StreamEffect.PauseReading(attempt.id()))
                : transition(next, resume);
    }

    /** Abandons the current attempt and requests the next one, or ends the stream. */
    private static StreamTransition giveUp(StreamState state, long nowMillis, boolean silent, boolean mayRun) {
        Attempt failed = state.attempt();
        List<StreamEffect> effects = new ArrayList<>();
        if (mayRun) {
            effects.add(cancelEffect(state));
            effects.add(new StreamEffect.UpstreamGivenUp(failed.upstream(), failed.id(), silent));
        }
        int maxTokens = state.spec().maxTokens();
        if (maxTokens > 0 && state.emitted() >= maxTokens) {
            // All tokens were emitted and only the completion was lost, so a further run would add nothing.
            effects.add(
                    new StreamEffect.Complete(new FinishedRun(FinishedRun.LENGTH, 0, 0, 0, state.emitted(), false)));
            return new StreamTransition(state.withPhase(StreamPhase.COMPLETE), effects);
        }
        if (failed.number() >= state.spec().limits().maxAttempts()) {
            effects.add(failEffect(state, "upstream_failed", "all attempts failed", RETRY_AFTER_MILLIS));
            return new StreamTransition(state.withPhase(StreamPhase.FAILED), effects);
        }
        int number = failed.number() + 1;
        AttemptId id = attemptId(state.spec().request(), number);
        Attempt next = Attempt.unsent(id, number, state.model(), state.emitted(), nowMillis);
        StreamState opening =
                state.withNextAttempt(next, state.combinedRunState(), append(state.avoid(), failed.upstream()));
        effects.add(startEffect(opening));
        return new StreamTransition(opening, effects);
    }

    private static List<UpstreamId> append(List<UpstreamId> avoid, UpstreamId upstream) {
        if (avoid.contains(upstream)) {
            return avoid;
        }
        List<UpstreamId> extended = new ArrayList<>(avoid);
        extended.add(upstream);
        return extended;
    }

    private static StreamTransition fail(StreamState state, String code, String message, long retryAfterMillis) {
        List<StreamEffect> effects = new ArrayList<>();
        if (state.phase() == StreamPhase.RUNNING) {
            effects.add(cancelEffect(state));
        }
        effects.add(failEffect(state, code, message, retryAfterMillis));
        return new StreamTransition(state.withPhase(StreamPhase.FAILED), effects);
    }

    private static StreamEffect failEffect(StreamState state, String code, String message, long retryAfterMillis) {
        RunState run = state.combinedRunState();
        if (run == RunState.NOT_RUN && !"caller_too_slow".equals(code)) {
            return new StreamEffect.Fail(Refusal.later(UNAVAILABLE, code, message, retryAfterMillis));
        }
        int status =
                "caller_too_slow".equals(code) ? CALLER_TIMEOUT : run == RunState.RAN ? BAD_GATEWAY : GATEWAY_TIMEOUT;
        return new StreamEffect.Fail(new Refusal(status, "upstream_error", code, message, run, retryAfterMillis));
    }

    private static boolean isCurrent(StreamState state, AttemptId attempt) {
        return state.attempt().id().equals(attempt);
    }

    private static boolean isRunning(StreamState state, AttemptId attempt) {
        return state.phase() == StreamPhase.RUNNING && isCurrent(state, attempt);
    }

    private static StreamEffect startEffect(StreamState state) {
        Attempt attempt = state.attempt();
        ModelRef model = attempt.expected();
        return new StreamEffect.Start(attempt.id(), attempt.number(), attempt.fromToken(), model, state.avoid());
    }

    private static StreamEffect cancelEffect(StreamState state) {
        return new StreamEffect.Cancel(state.attempt().id(), state.attempt().upstream());
    }

    private static StreamTransition dropEvent(StreamState state, AttemptId attempt) {
        return transition(state, new StreamEffect.EventDropped(attempt));
    }

    private static StreamTransition transition(StreamState state, StreamEffect... effects) {
        return new StreamTransition(state, List.of(effects));
    }

    private static AttemptId attemptId(RequestId request, int number) {
        return new AttemptId(request.value() + "." + number);
    }
}
