package org.cowslipbank.decision.trace.invariant;

/**
 * A fact that breaks an invariant.
 *
 * @param invariant name of the invariant
 * @param sequence sequence number of the fact's line
 * @param message what is wrong
 */
public record Violation(String invariant, long sequence, String message) {
    @Override
    public String toString() {
        return "sequence " + sequence + " breaks " + invariant + ": " + message;
    }
}
