/**
 * Records decisions in a trace file while requests are served, and replays trace files.
 *
 * <p>A bounded queue drops and counts records when it is full. Writing on the traffic thread would let a slow disk stall
 * requests, and an unbounded queue would grow during a disk stall until the node runs out of memory.
 */
package org.cowslipbank.entry.trace;
