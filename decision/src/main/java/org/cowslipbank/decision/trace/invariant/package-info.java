/**
 * Facts of a run and the invariants that must hold over them, whatever decisions were taken.
 *
 * <p>Considered: checks inside the node. They would only see one process, and a node that is wrong about its state would
 * be wrong in its check as well. Checkers over a trace see the facts of all processes in one order.
 */
package org.cowslipbank.decision.trace.invariant;
