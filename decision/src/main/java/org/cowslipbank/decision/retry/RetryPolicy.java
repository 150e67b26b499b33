package org.cowslipbank.decision.retry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.RunState;

/** Decides whether a request may be attempted again, under a retry budget. */
public final class RetryPolicy {
    /** Maximum number of attempts for a request, including the first one. */
    public static final int MAX_ATTEMPTS = 3;

    /** Length of the sliding window in seconds. */
    static final int WINDOW_SECONDS = 10;

    /** Retry rate until the window has filled after a start. */
    static final int START_RETRIES_PER_SECOND = 1;

    /** The decision as recorded in traces and replayed. */
    public static final Decision<RetryInput, RetryOutcome> DECISION = new Decision<>(
            "retry",
            RetryInput.class,
            RetryOutcome.class,
            input -> decide(input.state(), input.question(), input.nowMillis()));

    private static final long MILLIS_PER_SECOND = 1_000;

    private RetryPolicy() {}

    /**
     * Returns the state of a node that has just started.
     *
     * @param nowMillis current time in milliseconds
     * @return the state without requests and retries
     */
    public static RetryState start(long nowMillis) {
        List<Integer> noCounts = Collections.nCopies(WINDOW_SECONDS, 0);
        return new RetryState(nowMillis, 0, noCounts, noCounts);
    }

    /**
     * Counts a request of a caller. Further attempts are not counted as requests.
     *
     * @param state the state
     * @param nowMillis current time in milliseconds
     * @return the new state
     */
    public static RetryState onRequest(RetryState state, long nowMillis) {
        RetryState current = advanceWindow(state, nowMillis);
        return new RetryState(
                current.startedAtMillis(),
                current.newestSecond(),
                incrementNewest(current.requests()),
                current.retries());
    }

    /**
     * Decides under {@link RetryBudget#STANDARD} whether a further attempt may be sent, and counts it if so.
     *
     * @param state the state
     * @param question the further attempt
     * @param nowMillis current time in milliseconds
     * @return the outcome with the new state
     */
    public static RetryOutcome decide(RetryState state, RetryQuestion question, long nowMillis) {
        return decide(state, question, RetryBudget.STANDARD, nowMillis);
    }

    /**
     * Decides under a given budget whether a further attempt may be sent, and counts it if so.
     *
     * @param state the state
     * @param question the further attempt
     * @param budget limit on the retries in the window
     * @param nowMillis current time in milliseconds
     * @return the outcome with the new state
     */
    public static RetryOutcome decide(RetryState state, RetryQuestion question, RetryBudget budget, long nowMillis) {
        RetryState current = advanceWindow(state, nowMillis);
        if (question.retriedElsewhere()) {
            return new RetryOutcome(current, RetryVerdict.RETRIED_ELSEWHERE, 0);
        }
        if (question.attemptNumber() > MAX_ATTEMPTS) {
            return new RetryOutcome(current, RetryVerdict.TOO_MANY_ATTEMPTS, 0);
        }
        boolean maySendAgain = question.repeatable() || question.continuation() || question.run() == RunState.NOT_RUN;
        if (!maySendAgain) {
            return new RetryOutcome(current, RetryVerdict.NOT_REPEATABLE, 0);
        }
        if (!withinBudget(current, budget)) {
            long millisIntoSecond = Math.floorMod(nowMillis - current.startedAtMillis(), MILLIS_PER_SECOND);
            return new RetryOutcome(current, RetryVerdict.WAIT, MILLIS_PER_SECOND - millisIntoSecond);
        }
        RetryState counted = new RetryState(
                current.startedAtMillis(),
                current.newestSecond(),
                current.requests(),
                incrementNewest(current.retries()));
        return new RetryOutcome(counted, RetryVerdict.ALLOWED, 0);
    }

    private static boolean withinBudget(RetryState state, RetryBudget budget) {
        if (budget.limitsRateAfterStart() && state.newestSecond() < WINDOW_SECONDS) {
            return state.retries().get(WINDOW_SECONDS - 1) < START_RETRIES_PER_SECOND;
        }
        return sum(state.retries()) + 1 <= budget.retriesPerWindow(sum(state.requests()));
    }

    private static RetryState advanceWindow(RetryState state, long nowMillis) {
        long second = Math.max(0, nowMillis - state.startedAtMillis()) / MILLIS_PER_SECOND;
        long elapsedSeconds = second - state.newestSecond();
        if (elapsedSeconds <= 0) {
            return state;
        }
        int shift = (int) Math.min(elapsedSeconds, WINDOW_SECONDS);
        return new RetryState(
                state.startedAtMillis(),
                second,
                shiftWindow(state.requests(), shift),
                shiftWindow(state.retries(), shift));
    }

    private static List<Integer> shiftWindow(List<Integer> counts, int shift) {
        List<Integer> moved = new ArrayList<>(counts.subList(shift, counts.size()));
        moved.addAll(Collections.nCopies(shift, 0));
        return moved;
    }

    private static List<Integer> incrementNewest(List<Integer> counts) {
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
