/**
 * Location of blocks: rendezvous placement on stores, bounded hints for each session, and the recovery of hints.
 *
 * <p>The stores are authoritative. The prompt determines the placement, so a node without hints queries one store and
 * loses one round trip. Only the prefetch at an endpoint lookup, which names a session but no prompt, needs a hint.
 *
 * <p>Hints are recovered lazily, by querying the store when the prompt arrives. Alternatives considered: neither a
 * snapshot from a peer nor a bounded log of missed updates lowers the share of recomputed prompt tokens (recovery
 * bench, {@code docs/measurements/recovery.md}), and a node that has lost its hints has also lost its position in a
 * log.
 */
package org.cowslipbank.decision.directory;
