package org.cowslipbank.model;

/** A request was refused by a decision of the node. */
public final class RefusedException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    /**
     * Creates an error.
     *
     * @param step the step at which the request was refused
     * @param refusal what the caller is told
     */
    public RefusedException(Step step, Refusal refusal) {
        super(step, "", refusal.runState(), refusal.message(), null);
        this.refusal = refusal;
    }

    /**
     * Returns what the caller is told.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
