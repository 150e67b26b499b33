/**
 * A small model of callers, nodes and engines on a virtual clock, shared by the experiments on limits and streams.
 *
 * <p>The nodes call the decisions of module {@code decision}; engines, links and callers are models with injected
 * faults. Everything runs in one thread from one seed, so a run can be repeated exactly. An engine has slots; a run
 * takes a prefill time and then emits tokens at a fixed interval. The time that a message takes is fixed unless a fault
 * delays it.
 */
package org.cowslipbank.bench.virtual;
