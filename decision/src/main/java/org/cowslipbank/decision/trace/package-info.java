/**
 * Recording of decisions with their inputs and outcomes, replay of recorded decisions, and invariants over a trace.
 *
 * <p>A decision is a pure function from an input record to an outcome record, so a recorded decision can be run again
 * and compared without the systems that took part in it.
 */
package org.cowslipbank.decision.trace;
