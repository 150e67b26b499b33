package org.cowslipbank.model;

import java.util.Objects;

/**
 * Base of the checked exceptions. Each carries the processing step and the peer at which it arose, and whether the
 * request is known to have run.
 */
public abstract class CowslipbankException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ProcessingStep step;
    private final String peer;
    private final RunState runState;

    /**
     * Creates an exception.
     *
     * @param step the step at which the error arose
     * @param peer the peer's address or name, empty if no peer was involved
     * @param runState whether the request is known to have run
     * @param message what went wrong
     * @param cause the cause, or null
     */
    protected CowslipbankException(
            ProcessingStep step, String peer, RunState runState, String message, Throwable cause) {
        super(message, cause);
        this.step = Objects.requireNonNull(step, "step");
        this.peer = Objects.requireNonNull(peer, "peer");
        this.runState = Objects.requireNonNull(runState, "runState");
    }

    /**
     * Returns the step at which the error arose.
     *
     * @return the step
     */
    public final ProcessingStep step() {
        return step;
    }

    /**
     * Returns the peer at which the error arose.
     *
     * @return the peer's address or name, or an empty text
     */
    public final String peer() {
        return peer;
    }

    /**
     * Returns whether the request is known to have run.
     *
     * @return the run state
     */
    public final RunState runState() {
        return runState;
    }

    @Override
    public String toString() {
        String at = peer.isEmpty() ? "" : " at " + peer;
        return getClass().getSimpleName() + "[" + step + at + ", " + runState.wireName() + "]: " + getMessage();
    }
}
