/**
 * Records decisions to a file while traffic runs.
 *
 * <p>Considered: writing on the traffic thread, which a slow disk would stall, and an unbounded queue, which a stalled
 * disk would grow until the node runs out of memory. A bounded queue that drops and counts was chosen.
 */
package org.cowslipbank.entry.trace;
