package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.retry.RetryInput;
import org.cowslipbank.decision.retry.RetryOutcome;
import org.cowslipbank.decision.retry.RetryPolicy;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryState;

/** The node's retry budget, shared by its traffic threads. */
final class RetryGate {
    private final MonotonicClock clock;
    private final DecisionRecorder recorder;
    private RetryState state;

    RetryGate(MonotonicClock clock, DecisionRecorder recorder) {
        this.clock = clock;
        this.recorder = recorder;
        this.state = RetryPolicy.start(clock.nowMillis());
    }

    synchronized void onRequest() {
        state = RetryPolicy.onRequest(state, clock.nowMillis());
    }

    /** Returns the outcome that {@link #decide} would give, without charging the budget. */
    synchronized RetryOutcome preview(RetryQuestion question) {
        return RetryPolicy.decide(state, question, clock.nowMillis());
    }

    /** Decides whether a further attempt may be sent, and charges it to the budget if so. */
    synchronized RetryOutcome decide(RetryQuestion question) {
        RetryOutcome outcome =
                recorder.decide(RetryPolicy.DECISION, new RetryInput(state, question, clock.nowMillis()));
        state = outcome.state();
        return outcome;
    }
}
