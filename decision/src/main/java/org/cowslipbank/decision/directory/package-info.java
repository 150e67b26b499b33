/**
 * Which store holds which blocks: rendezvous placement, bounded hints per session, and their recovery.
 *
 * <p>The stores are authoritative. Because the placement follows from the prompt, a node without hints asks one store and
 * loses one round trip; only the prefetch at an address lookup, which names a session but no prompt, needs a hint.
 *
 * <p>Hints are recovered lazily, by asking the store when the prompt arrives. A snapshot from a peer and a bounded log of
 * missed updates were measured as well (recovery bench, {@code docs/measurements/recovery.md}): neither lowers the
 * recomputed share, and a node that has lost its hints has lost its place in a log as well.
 */
package org.cowslipbank.decision.directory;
