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

    /** Tells what the answer would be, without using the budget. */
    synchronized RetryOutcome preview(RetryQuestion question) {
        return RetryPolicy.decide(state, question, clock.nowMillis());
    }

    synchronized RetryOutcome ask(RetryQuestion question) {
        RetryOutcome outcome =
                recorder.decide(RetryPolicy.DECISION, new RetryInput(state, question, clock.nowMillis()));
        state = outcome.state();
        return outcome;
    }
}
