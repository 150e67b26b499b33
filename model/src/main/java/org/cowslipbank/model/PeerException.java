package org.cowslipbank.model;

/** A peer, upstream, store or platform service could not be reached, stopped responding or answered with an error. */
public final class PeerException extends CowslipbankException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step the step at which the error arose
     * @param peer the peer's address or name
     * @param runState whether the request is known to have run
     * @param message what went wrong
     * @param cause the cause, or null
     */
    public PeerException(ProcessingStep step, String peer, RunState runState, String message, Throwable cause) {
        super(step, peer, runState, message, cause);
    }

    /**
     * Creates an exception without a cause.
     *
     * @param step the step at which the error arose
     * @param peer the peer's address or name
     * @param runState whether the request is known to have run
     * @param message what went wrong
     */
    public PeerException(ProcessingStep step, String peer, RunState runState, String message) {
        this(step, peer, runState, message, null);
    }
}
