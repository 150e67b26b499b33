package org.cowslipbank.decision.trace.invariant;

/**
 * An event that violates an invariant.
 *
 * @param invariant name of the invariant
 * @param sequence sequence number of the event's line
 * @param message description of the violation
 */
public record InvariantViolation(String invariant, long sequence, String message) {
    @Override
    public String toString() {
        return "sequence " + sequence + " breaks " + invariant + ": " + message;
    }
}
