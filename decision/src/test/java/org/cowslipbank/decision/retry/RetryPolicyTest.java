package org.cowslipbank.decision.retry;

import net.jqwik.api.Example;
import org.cowslipbank.model.RunState;

final class RetryPolicyTest {
    private static final RetryQuestion PROMPT = new RetryQuestion(2, RunState.UNKNOWN, true, false, false);

    /** Failure guarded against: retries of a failing fleet add more than a tenth to its load. */
    @Example
    void budgetIsATenthOfTheWindow() {
        RetryState state = RetryPolicy.start(0);
        for (int request = 0; request < 100; request++) {
            state = RetryPolicy.onRequest(state, 10_000 + request * 50);
        }
        int allowed = 0;
        RetryOutcome outcome = RetryPolicy.decide(state, PROMPT, 15_000);
        while (outcome.verdict() == RetryVerdict.ALLOWED) {
            allowed++;
            outcome = RetryPolicy.decide(outcome.state(), PROMPT, 15_000);
        }
        assert allowed == 10 : allowed;
        assert outcome.verdict() == RetryVerdict.WAIT && outcome.waitMillis() == 1_000 : outcome;
    }

    /** Failure guarded against: a fleet that restarts after an outage adds a burst of retries. */
    @Example
    void startAllowsOneRetryASecond() {
        RetryState state = RetryPolicy.start(0);
        for (int request = 0; request < 1_000; request++) {
            state = RetryPolicy.onRequest(state, 100);
        }
        RetryOutcome first = RetryPolicy.decide(state, PROMPT, 200);
        RetryOutcome second = RetryPolicy.decide(first.state(), PROMPT, 300);
        RetryOutcome third = RetryPolicy.decide(second.state(), PROMPT, 300 + second.waitMillis());
        assert first.verdict() == RetryVerdict.ALLOWED;
        assert second.verdict() == RetryVerdict.WAIT;
        assert third.verdict() == RetryVerdict.ALLOWED;
    }

    /** Failure guarded against: an order whose outcome is unknown runs twice (P6). */
    @Example
    void nonRepeatableWorkIsSentAgainOnlyIfItDidNotRun() {
        RetryState state = RetryPolicy.start(0);
        RetryQuestion unknown = new RetryQuestion(2, RunState.UNKNOWN, false, false, false);
        RetryQuestion notRun = new RetryQuestion(2, RunState.NOT_RUN, false, false, false);
        RetryQuestion fourth = new RetryQuestion(4, RunState.NOT_RUN, true, false, false);
        RetryQuestion elsewhere = new RetryQuestion(2, RunState.NOT_RUN, true, false, true);
        assert RetryPolicy.decide(state, unknown, 1).verdict() == RetryVerdict.NOT_REPEATABLE;
        assert RetryPolicy.decide(state, notRun, 1).verdict() == RetryVerdict.ALLOWED;
        assert RetryPolicy.decide(state, fourth, 1).verdict() == RetryVerdict.TOO_MANY_ATTEMPTS;
        assert RetryPolicy.decide(state, elsewhere, 1).verdict() == RetryVerdict.RETRIED_ELSEWHERE;
    }

    /** Failure guarded against: an upstream that fails every run at once attracts the traffic by its low load. */
    @Example
    void aFailingUpstreamIsLeftOutAndTriedAgain() {
        UpstreamHealth health = UpstreamHealth.GOOD;
        for (int failure = 0; failure < UpstreamHealth.FAILURES; failure++) {
            assert health.mayTry(0);
            health = health.failed(0);
        }
        assert !health.mayTry(UpstreamHealth.AVOID_MILLIS - 1);
        assert health.mayTry(UpstreamHealth.AVOID_MILLIS);
        UpstreamHealth trial = health.sent(UpstreamHealth.AVOID_MILLIS);
        assert !trial.mayTry(UpstreamHealth.AVOID_MILLIS + 1);
        assert trial.succeeded().mayTry(UpstreamHealth.AVOID_MILLIS + 1);
        assert !trial.failed(10_000).mayTry(10_000 + UpstreamHealth.AVOID_MILLIS);
    }
}
