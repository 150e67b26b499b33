package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.trace.Decision;

/** Runs decision functions; an implementation may record their inputs and outcomes in a trace. */
public interface DecisionRecorder {
    /** Runs decisions without recording them. */
    DecisionRecorder NONE = new DecisionRecorder() {
        @Override
        public <I, O> O decide(Decision<I, O> decision, I input) {
            return decision.function().apply(input);
        }
    };

    /**
     * Runs a decision.
     *
     * @param <I> the input's type
     * @param <O> the outcome's type
     * @param decision the decision
     * @param input the input
     * @return the outcome
     */
    <I, O> O decide(Decision<I, O> decision, I input);
}
