package org.cowslipbank.decision.retry;

import net.jqwik.api.Example;
import org.cowslipbank.model.RunState;

final class RetryPolicyTest {
    private static final RetryQuestion PROMPT = new RetryQuestion(2, RunState.UNKNOWN, true, false, false);

    /** Guards against retries that add more than a tenth to the load of a failing fleet. */
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

    /** Guards against a burst of retries from a fleet that restarts after an outage. */
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

    /** Guards against a second run of a non-repeatable request whose outcome is unknown (P6). */
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

    /**
     * Guards against an upstream that fails every run immediately and gets most of the traffic because of its low load.
     */
    @Example
    void failingUpstreamIsAvoidedAndTriedAgain() {
        UpstreamCircuitBreaker health = UpstreamCircuitBreaker.CLOSED;
        for (int failure = 0; failure < UpstreamCircuitBreaker.FAILURE_THRESHOLD; failure++) {
            assert health.allowsAttempt(0);
            health = health.onFailure(0);
        }
        assert !health.allowsAttempt(UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS - 1);
        assert health.allowsAttempt(UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS);
        UpstreamCircuitBreaker trial = health.onAttemptSent(UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS);
        assert !trial.allowsAttempt(UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS + 1);
        assert trial.onSuccess().allowsAttempt(UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS + 1);
        assert !trial.onFailure(10_000).allowsAttempt(10_000 + UpstreamCircuitBreaker.INITIAL_AVOID_MILLIS);
    }
}
