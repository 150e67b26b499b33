package org.cowslipbank.entry.traffic;

import org.cowslipbank.decision.streams.NotSentReason;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;

/** Thrown if no upstream can take a prompt at the moment. */
final class RoutingException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    private final NotSentReason reason;

    RoutingException(NotSentReason reason) {
        super(ProcessingStep.ROUTE, "", RunState.NOT_RUN, "cannot route the prompt: " + reason.code(), null);
        this.reason = reason;
    }

    NotSentReason reason() {
        return reason;
    }
}
