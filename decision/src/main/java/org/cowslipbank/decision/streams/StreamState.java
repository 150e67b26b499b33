package org.cowslipbank.decision.streams;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;

/**
 * State of one answer. Times are milliseconds on the monotonic clock of the stream; -1 means never.
 *
 * @param spec the request
 * @param phase the phase
 * @param attempt the current attempt
 * @param model the model and weight version of the emitted tokens, or the preferred one before the first token
 * @param emitted number of tokens emitted
 * @param taken number of tokens that the caller has accepted
 * @param pausedAtMillis when reading was paused for a slow caller, -1 if it is not paused
 * @param earlierRun what is known about whether earlier attempts ran
 * @param waitUntilMillis when a waiting attempt is requested again
 * @param waitSinceMillis when the wait for the current attempt began, -1 if it has not waited
 * @param avoid upstreams on which attempts of this stream failed
 */
public record StreamState(
        StreamSpec spec,
        StreamPhase phase,
        Attempt attempt,
        ModelRef model,
        int emitted,
        int taken,
        long pausedAtMillis,
        RunState earlierRun,
        long waitUntilMillis,
        long waitSinceMillis,
        List<UpstreamId> avoid) {
    static final long NEVER = -1;

    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public StreamState {
        avoid = List.copyOf(avoid);
    }

    /**
     * Returns what is known about whether any attempt of the request ran.
     *
     * @return the combined run state of all attempts
     */
    @JsonIgnore
    public RunState combinedRunState() {
        return combineRunStates(earlierRun, attempt.run());
    }

    /**
     * Returns whether reading from the engine is paused for a slow caller.
     *
     * @return true if it is paused
     */
    @JsonIgnore
    public boolean readingPaused() {
        return pausedAtMillis != NEVER;
    }

    /**
     * Returns the time at which the next {@link StreamEvent.Tick} is due if nothing else happens.
     *
     * @return the time in milliseconds, {@link Long#MAX_VALUE} if none is due
     */
    public long nextCheckMillis() {
        if (phase.hasEnded()) {
            return Long.MAX_VALUE;
        }
        long next = firstTokenDeadlineMillis();
        if (phase == StreamPhase.WAITING) {
            return Math.min(next, waitUntilMillis);
        }
        if (phase == StreamPhase.OPENING) {
            return next;
        }
        if (readingPaused()) {
            return Math.min(next, pausedAtMillis + spec.limits().callerStallMillis());
        }
        next = Math.min(next, attempt.heardAtMillis() + spec.limits().silenceMillis());
        return Math.min(next, progressDeadlineMillis());
    }

    long firstTokenDeadlineMillis() {
        boolean hasDeadline = emitted == 0 && spec.firstTokenDeadlineMillis() > 0;
        return hasDeadline ? spec.firstTokenDeadlineMillis() : Long.MAX_VALUE;
    }

    long progressDeadlineMillis() {
        boolean hasToken = emitted > attempt.fromToken();
        return hasToken
                ? attempt.tokenAtMillis() + spec.limits().tokenGapMillis()
                : attempt.sentAtMillis() + spec.limits().attemptStartMillis();
    }

    static RunState combineRunStates(RunState first, RunState second) {
        if (first == RunState.RAN || second == RunState.RAN) {
            return RunState.RAN;
        }
        return first == RunState.UNKNOWN || second == RunState.UNKNOWN ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    StreamState withAttempt(Attempt changed) {
        return new StreamState(
                spec,
                phase,
                changed,
                model,
                emitted,
                taken,
                pausedAtMillis,
                earlierRun,
                waitUntilMillis,
                waitSinceMillis,
                avoid);
    }

    StreamState withPhase(StreamPhase changed) {
        return new StreamState(
                spec,
                changed,
                attempt,
                model,
                emitted,
                taken,
                pausedAtMillis,
                earlierRun,
                waitUntilMillis,
                waitSinceMillis,
                avoid);
    }

    StreamState withSentAttempt(Attempt changed) {
        return new StreamState(
                spec,
                StreamPhase.RUNNING,
                changed,
                emitted == 0 ? changed.expected() : model,
                emitted,
                taken,
                pausedAtMillis,
                earlierRun,
                NEVER,
                NEVER,
                avoid);
    }

    StreamState withWait(long untilMillis, long sinceMillis) {
        return new StreamState(
                spec,
                StreamPhase.WAITING,
                attempt,
                model,
                emitted,
                taken,
                pausedAtMillis,
                earlierRun,
                untilMillis,
                sinceMillis,
                avoid);
    }

    StreamState withNextAttempt(Attempt next, RunState run, List<UpstreamId> nextAvoid) {
        return new StreamState(
                spec,
                StreamPhase.OPENING,
                next,
                model,
                emitted,
                taken,
                pausedAtMillis,
                run,
                NEVER,
                waitSinceMillis,
                nextAvoid);
    }

    StreamState withEmittedToken(Attempt changed) {
        return new StreamState(
                spec,
                phase,
                changed,
                model,
                emitted + 1,
                taken,
                pausedAtMillis,
                earlierRun,
                waitUntilMillis,
                waitSinceMillis,
                avoid);
    }

    StreamState withoutTokens() {
        return new StreamState(
                spec, phase, attempt, model, 0, 0, NEVER, earlierRun, waitUntilMillis, waitSinceMillis, avoid);
    }

    StreamState withReadProgress(int newTaken, long newPausedAtMillis, Attempt changed) {
        return new StreamState(
                spec,
                phase,
                changed,
                model,
                emitted,
                newTaken,
                newPausedAtMillis,
                earlierRun,
                waitUntilMillis,
                waitSinceMillis,
                avoid);
    }
}
