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

/** The state machine of one answer. */
public final class StreamMachine {
    /** The transition as a decision that can be recorded and replayed. */
    public static final Decision<StreamInput, StreamTransition> DECISION = new Decision<>(
            "stream",
            StreamInput.class,
            StreamTransition.class,
            input -> on(input.state(), input.event(), input.nowMillis()));

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int CALLER_TIMEOUT = 408;

    /** Time after which a caller may try again when an upstream failed; the retry window is 10 s. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private StreamMachine() {}

    /**
     * Opens a stream; the effects start the first attempt.
     *
     * @param spec what is to be delivered
     * @param nowMillis the time in milliseconds
     * @return the first state and its effects
     */
    public static StreamTransition open(StreamSpec spec, long nowMillis) {
        Attempt first = Attempt.opening(attemptId(spec.request(), 1), 1, spec.model(), 0, nowMillis);
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
        return new StreamTransition(state, List.of(start(state)));
    }

    /**
     * Applies an event.
     *
     * @param state the state
     * @param event the event
     * @param nowMillis the time in milliseconds, from the same monotonic clock for all events of a stream
     * @return the new state and what to do
     */
    public static StreamTransition on(StreamState state, StreamEvent event, long nowMillis) {
        if (event instanceof StreamEvent.Token token) {
            return onToken(state, token, nowMillis);
        }
        if (event instanceof StreamEvent.Heartbeat heartbeat) {
            return onHeartbeat(state, heartbeat, nowMillis);
        }
        if (event instanceof StreamEvent.Tick) {
            return onTick(state, nowMillis);
        }
        if (event instanceof StreamEvent.CallerTook took) {
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
        boolean wanted = state.phase() == StreamPhase.OPENING && isCurrent(state, sent.attempt());
        if (!wanted) {
            // The stream ended or moved on while the shell was routing, so the run has no reader.
            return result(state, new StreamEffect.Cancel(sent.attempt(), sent.upstream()));
        }
        StreamState next = state.sent(state.attempt().sent(sent.upstream(), sent.expected(), nowMillis));
        if (state.emitted() > 0 && !sent.expected().equals(state.model())) {
            return giveUp(next, nowMillis, false, true);
        }
        return next.paused() ? result(next, new StreamEffect.PauseReading(sent.attempt())) : result(next);
    }

    private static StreamTransition onNotSent(StreamState state, StreamEvent.NotSent notSent, long nowMillis) {
        if (state.phase() != StreamPhase.OPENING || !isCurrent(state, notSent.attempt())) {
            return result(state);
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
            return result(state.waiting(untilMillis, sinceMillis));
        }
        long retryAfterMillis = notSent.reason().temporary() ? Math.max(1, notSent.retryAfterMillis()) : 0;
        return fail(state, notSent.reason().code(), "no further attempt is possible", retryAfterMillis);
    }

    // Nothing was relayed to a non-streaming caller, so its prompt is still repeatable from the beginning.
    private static StreamTransition restart(StreamState state, long nowMillis) {
        StreamState discarded = state.discarded();
        Attempt fresh = Attempt.opening(
                state.attempt().id(), state.attempt().number(), state.spec().model(), 0, nowMillis);
        StreamState next = discarded.opening(fresh, state.earlierRun(), state.avoid());
        return result(next, new StreamEffect.Discard(), start(next));
    }

    private static StreamTransition onStarted(StreamState state, StreamEvent.Started started, long nowMillis) {
        if (!isLive(state, started.attempt())) {
            return dropped(state, started.attempt());
        }
        if (!started.ran().equals(state.attempt().expected())) {
            StreamState ran = state.withAttempt(state.attempt().withRun(RunState.RAN));
            return giveUp(ran, nowMillis, false, true);
        }
        return result(state.withAttempt(state.attempt().started(nowMillis)));
    }

    private static StreamTransition onToken(StreamState state, StreamEvent.Token token, long nowMillis) {
        if (!isLive(state, token.attempt())) {
            return dropped(state, token.attempt());
        }
        boolean current = token.connection() == state.attempt().connection();
        if (!state.attempt().verified() || token.index() > state.emitted()) {
            // Events are missing on this connection. An old connection is not needed, so its gap is ignored.
            return current ? reconnect(state, nowMillis) : dropped(state, token.attempt());
        }
        if (token.index() < state.emitted()) {
            StreamState heard = current ? state.withAttempt(state.attempt().heard(nowMillis)) : state;
            return dropped(heard, token.attempt());
        }
        StreamState next = state.emitted(state.attempt().progressed(nowMillis));
        StreamEffect emit = new StreamEffect.Emit(token.index(), token.text());
        int unread = next.emitted() - next.taken();
        if (next.paused()
                || !next.spec().streaming()
                || unread <= next.spec().limits().maxUnreadTokens()) {
            return result(next, emit);
        }
        StreamState paused = next.reading(next.taken(), nowMillis, next.attempt());
        return result(paused, emit, new StreamEffect.PauseReading(token.attempt()));
    }

    private static StreamTransition onHeartbeat(StreamState state, StreamEvent.Heartbeat beat, long nowMillis) {
        boolean live = isLive(state, beat.attempt())
                && beat.connection() == state.attempt().connection();
        return live ? result(state.withAttempt(state.attempt().heard(nowMillis))) : dropped(state, beat.attempt());
    }

    private static StreamTransition onFinished(StreamState state, StreamEvent.Finished finished, long nowMillis) {
        if (!isLive(state, finished.attempt())) {
            return dropped(state, finished.attempt());
        }
        int expected = state.attempt().fromToken() + finished.run().completionTokens();
        boolean current = finished.connection() == state.attempt().connection();
        if (!state.attempt().verified() || state.emitted() < expected) {
            return current ? reconnect(state, nowMillis) : dropped(state, finished.attempt());
        }
        if (state.emitted() > expected) {
            return fail(state, "inconsistent_answer", "the engine sent more tokens than it counted", 0);
        }
        FinishedRun whole = finished.run().withCompletionTokens(state.emitted());
        return result(state.withPhase(StreamPhase.COMPLETE), new StreamEffect.Complete(whole));
    }

    private static StreamTransition onFailed(StreamState state, StreamEvent.Failed failed, long nowMillis) {
        boolean current = isLive(state, failed.attempt())
                && failed.connection() == state.attempt().connection();
        if (!current) {
            return result(state);
        }
        return switch (failed.kind()) {
            case BROKEN -> reconnect(state, nowMillis);
            case NOT_REACHED, REFUSED -> giveUp(notRunIfFirst(state), nowMillis, false, false);
            case UNKNOWN_ATTEMPT, UPSTREAM_DOWN, RUN_ABORTED -> giveUp(state, nowMillis, false, false);
        };
    }

    // Only on the first connection does a failed connect or a refusal prove that the attempt did not run.
    private static StreamState notRunIfFirst(StreamState state) {
        Attempt attempt = state.attempt();
        boolean nothingDelivered = attempt.connection() == 0 && attempt.run() == RunState.UNKNOWN;
        return nothingDelivered ? state.withAttempt(attempt.withRun(RunState.NOT_RUN)) : state;
    }

    private static StreamTransition onCallerTook(StreamState state, StreamEvent.CallerTook took, long nowMillis) {
        int taken = Math.min(state.emitted(), state.taken() + took.tokens());
        int unread = state.emitted() - taken;
        boolean drained = unread <= state.spec().limits().maxUnreadTokens() / 2;
        if (!state.paused() || !drained || state.phase().ended()) {
            return result(state.reading(taken, state.pausedAtMillis(), state.attempt()));
        }
        // The engine was not read while paused, so its silence is counted from now on.
        Attempt heard = state.attempt().heard(nowMillis).heardToken(nowMillis);
        StreamState reading = state.reading(taken, StreamState.NEVER, heard);
        return result(reading, new StreamEffect.ContinueReading(heard.id()));
    }

    private static StreamTransition onCallerGone(StreamState state) {
        if (state.phase().ended()) {
            return result(state);
        }
        StreamState next = state.withPhase(StreamPhase.CANCELLED);
        return state.phase() == StreamPhase.RUNNING ? result(next, cancel(state)) : result(next);
    }

    private static StreamTransition onTick(StreamState state, long nowMillis) {
        if (state.phase().ended()) {
            return result(state);
        }
        if (nowMillis >= state.firstTokenDeadlineMillis()) {
            return fail(state, "deadline_exceeded", "no token arrived before the deadline", 0);
        }
        if (state.phase() == StreamPhase.WAITING && nowMillis >= state.waitUntilMillis()) {
            StreamState opening = state.withPhase(StreamPhase.OPENING);
            return result(opening, start(opening));
        }
        if (state.phase() != StreamPhase.RUNNING) {
            return result(state);
        }
        if (state.paused()) {
            boolean stalled =
                    nowMillis >= state.pausedAtMillis() + state.spec().limits().callerStallMillis();
            return stalled ? fail(state, "caller_too_slow", "the caller stopped reading", 0) : result(state);
        }
        if (nowMillis >= state.attempt().heardAtMillis() + state.spec().limits().silenceMillis()) {
            return reconnect(state, nowMillis);
        }
        return nowMillis >= state.progressDeadlineMillis() ? giveUp(state, nowMillis, false, true) : result(state);
    }

    private static StreamTransition reconnect(StreamState state, long nowMillis) {
        Attempt attempt = state.attempt();
        if (attempt.resumes() >= state.spec().limits().maxResumes()) {
            return giveUp(state, nowMillis, true, true);
        }
        StreamState next = state.withAttempt(attempt.reconnecting(nowMillis));
        StreamEffect resume =
                new StreamEffect.Resume(attempt.id(), next.attempt().connection(), attempt.upstream(), state.emitted());
        return state.paused()
                ? result(next, resume, new StreamEffect.PauseReading(attempt.id()))
                : result(next, resume);
    }

    /** Ends the current attempt and starts the next one, or ends the stream. */
    private static StreamTransition giveUp(StreamState state, long nowMillis, boolean silent, boolean mayRun) {
        Attempt failed = state.attempt();
        List<StreamEffect> effects = new ArrayList<>();
        if (mayRun) {
            effects.add(cancel(state));
            effects.add(new StreamEffect.UpstreamGivenUp(failed.upstream(), failed.id(), silent));
        }
        int maxTokens = state.spec().maxTokens();
        if (maxTokens > 0 && state.emitted() >= maxTokens) {
            // Every token was emitted; only the completion was lost, and a further run would have nothing to add.
            effects.add(
                    new StreamEffect.Complete(new FinishedRun(FinishedRun.LENGTH, 0, 0, 0, state.emitted(), false)));
            return new StreamTransition(state.withPhase(StreamPhase.COMPLETE), effects);
        }
        if (failed.number() >= state.spec().limits().maxAttempts()) {
            effects.add(failure(state, "upstream_failed", "all attempts failed", RETRY_AFTER_MILLIS));
            return new StreamTransition(state.withPhase(StreamPhase.FAILED), effects);
        }
        int number = failed.number() + 1;
        AttemptId id = attemptId(state.spec().request(), number);
        Attempt next = Attempt.opening(id, number, state.model(), state.emitted(), nowMillis);
        StreamState opening = state.opening(next, state.run(), with(state.avoid(), failed.upstream()));
        effects.add(start(opening));
        return new StreamTransition(opening, effects);
    }

    private static List<UpstreamId> with(List<UpstreamId> avoid, UpstreamId upstream) {
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
            effects.add(cancel(state));
        }
        effects.add(failure(state, code, message, retryAfterMillis));
        return new StreamTransition(state.withPhase(StreamPhase.FAILED), effects);
    }

    private static StreamEffect failure(StreamState state, String code, String message, long retryAfterMillis) {
        RunState run = state.run();
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

    private static boolean isLive(StreamState state, AttemptId attempt) {
        return state.phase() == StreamPhase.RUNNING && isCurrent(state, attempt);
    }

    private static StreamEffect start(StreamState state) {
        Attempt attempt = state.attempt();
        ModelRef model = attempt.expected();
        return new StreamEffect.Start(attempt.id(), attempt.number(), attempt.fromToken(), model, state.avoid());
    }

    private static StreamEffect cancel(StreamState state) {
        return new StreamEffect.Cancel(state.attempt().id(), state.attempt().upstream());
    }

    private static StreamTransition dropped(StreamState state, AttemptId attempt) {
        return result(state, new StreamEffect.Dropped(attempt));
    }

    private static StreamTransition result(StreamState state, StreamEffect... effects) {
        return new StreamTransition(state, List.of(effects));
    }

    private static AttemptId attemptId(RequestId request, int number) {
        return new AttemptId(request.value() + "." + number);
    }
}
