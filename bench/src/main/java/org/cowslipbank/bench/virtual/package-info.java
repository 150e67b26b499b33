/**
 * Simulates callers, nodes and engines on a virtual clock for the benchmarks of limits and streams.
 *
 * <p>The nodes call the decisions of module {@code decision}; engines, links and callers are models with injected
 * faults. Everything runs in one thread from one seed, so that runs are reproducible. An engine has slots; a run takes
 * a prefill time and then emits tokens at a fixed interval. Message latency is fixed unless a fault delays the
 * message.
 */
package org.cowslipbank.bench.virtual;
