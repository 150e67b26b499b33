/**
 * Which store holds which blocks: rendezvous placement, bounded hints per session, and their recovery.
 *
 * <p>The stores are authoritative. Because the placement follows from the prompt, a node without hints asks one store and
 * loses one round trip; only the prefetch at an address lookup, which names a session but no prompt, needs a hint.
 */
package org.cowslipbank.decision.directory;
