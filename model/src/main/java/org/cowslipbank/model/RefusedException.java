package org.cowslipbank.model;

/** The node itself refused a request. */
public final class RefusedException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    /**
     * Creates an exception.
     *
     * @param step the step at which the request was refused
     * @param refusal the error answer to the caller
     */
    public RefusedException(ProcessingStep step, Refusal refusal) {
        super(step, "", refusal.runState(), refusal.message(), null);
        this.refusal = refusal;
    }

    /**
     * Returns the error answer to the caller.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
