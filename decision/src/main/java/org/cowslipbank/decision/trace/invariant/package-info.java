/**
 * Events of a run and the invariants that must hold over them, independent of the decisions taken.
 *
 * <p>Alternative considered: checks inside the node. They would see only one process, and a node with a wrong view of
 * its state would check against the same wrong view. Checks over a trace see the events of all processes in one order.
 */
package org.cowslipbank.decision.trace.invariant;
