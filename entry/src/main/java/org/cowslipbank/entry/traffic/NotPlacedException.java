package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;

/** No upstream takes a prompt now. */
final class NotPlacedException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    private final NotSentReason reason;

    NotPlacedException(NotSentReason reason) {
        super(Step.ROUTE, "", RunState.NOT_RUN, "not placed: " + reason.code(), null);
        this.reason = reason;
    }

    NotSentReason reason() {
        return reason;
    }
}
