package org.cowslipbank.decision.retry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.RunState;

/** Decides on further attempts. */
public final class RetryPolicy {
    /** The most attempts of a request, the first included. */
    public static final int MAX_ATTEMPTS = 3;

    /** Seconds of the sliding window. */
    static final int WINDOW_SECONDS = 10;

    /** Retries a second until the window has filled after a start. */
    static final int START_RETRIES_PER_SECOND = 1;

    /** The decision, to be recorded and replayed. */
    public static final Decision<RetryInput, RetryOutcome> DECISION = new Decision<>(
            "retry",
            RetryInput.class,
            RetryOutcome.class,
            input -> decide(input.state(), input.question(), input.nowMillis()));

    private static final long SECOND_MILLIS = 1_000;

    private RetryPolicy() {}

    /**
     * Returns the empty budget of a node that starts.
     *
     * @param nowMillis the time in milliseconds
     * @return the state
     */
    public static RetryState start(long nowMillis) {
        List<Integer> zeros = Collections.nCopies(WINDOW_SECONDS, 0);
        return new RetryState(nowMillis, 0, zeros, zeros);
    }

    /**
     * Counts a request of a caller. Further attempts are not counted as requests.
     *
     * @param state the state
     * @param nowMillis the time in milliseconds
     * @return the new state
     */
    public static RetryState onRequest(RetryState state, long nowMillis) {
        RetryState moved = advance(state, nowMillis);
        return new RetryState(
                moved.startedAtMillis(), moved.newestSecond(), countNewest(moved.requests()), moved.retries());
    }

    /**
     * Decides whether a further attempt may be sent, and counts it if so.
     *
     * @param state the state
     * @param question the question
     * @param nowMillis the time in milliseconds
     * @return the outcome with the new state
     */
    public static RetryOutcome decide(RetryState state, RetryQuestion question, long nowMillis) {
        return decide(state, question, RetryBudget.STANDARD, nowMillis);
    }

    /**
     * Decides under a budget of the deployment whether a further attempt may be sent, and counts it if so.
     *
     * @param state the state
     * @param question the question
     * @param budget the most retries in the window
     * @param nowMillis the time in milliseconds
     * @return the outcome with the new state
     */
    public static RetryOutcome decide(RetryState state, RetryQuestion question, RetryBudget budget, long nowMillis) {
        RetryState moved = advance(state, nowMillis);
        if (question.retriedElsewhere()) {
            return new RetryOutcome(moved, RetryVerdict.RETRIED_ELSEWHERE, 0);
        }
        if (question.attemptNumber() > MAX_ATTEMPTS) {
            return new RetryOutcome(moved, RetryVerdict.TOO_MANY_ATTEMPTS, 0);
        }
        boolean harmless = question.repeatable() || question.continuation() || question.run() == RunState.NOT_RUN;
        if (!harmless) {
            return new RetryOutcome(moved, RetryVerdict.NOT_REPEATABLE, 0);
        }
        if (!withinBudget(moved, budget)) {
            long intoSecondMillis = Math.floorMod(nowMillis - moved.startedAtMillis(), SECOND_MILLIS);
            return new RetryOutcome(moved, RetryVerdict.WAIT, SECOND_MILLIS - intoSecondMillis);
        }
        RetryState counted = new RetryState(
                moved.startedAtMillis(), moved.newestSecond(), moved.requests(), countNewest(moved.retries()));
        return new RetryOutcome(counted, RetryVerdict.ALLOWED, 0);
    }

    private static boolean withinBudget(RetryState state, RetryBudget budget) {
        if (budget.limitsStart() && state.newestSecond() < WINDOW_SECONDS) {
            return state.retries().get(WINDOW_SECONDS - 1) < START_RETRIES_PER_SECOND;
        }
        return sum(state.retries()) + 1 <= budget.retriesPerWindow(sum(state.requests()));
    }

    private static RetryState advance(RetryState state, long nowMillis) {
        long second = Math.max(0, nowMillis - state.startedAtMillis()) / SECOND_MILLIS;
        long steps = second - state.newestSecond();
        if (steps <= 0) {
            return state;
        }
        int shift = (int) Math.min(steps, WINDOW_SECONDS);
        return new RetryState(
                state.startedAtMillis(), second, shifted(state.requests(), shift), shifted(state.retries(), shift));
    }

    private static List<Integer> shifted(List<Integer> counts, int shift) {
        List<Integer> moved = new ArrayList<>(counts.subList(shift, counts.size()));
        moved.addAll(Collections.nCopies(shift, 0));
        return moved;
    }

    private static List<Integer> countNewest(List<Integer> counts) {
        List<Integer> counted = new ArrayList<>(counts);
        int newest = counted.size() - 1;
        counted.set(newest, counted.get(newest) + 1);
        return counted;
    }

    private static int sum(List<Integer> counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
