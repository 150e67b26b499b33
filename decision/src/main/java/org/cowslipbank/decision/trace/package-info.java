/**
 * Which input led to which outcome: recorded decisions, their replay and the invariants that hold over a trace.
 *
 * <p>A decision is a pure function from an input record to an outcome record, so a recorded pair can be run again and
 * compared without any of the systems that took part.
 */
package org.cowslipbank.decision.trace;
