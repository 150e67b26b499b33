/**
 * Export of the blocks of finished runs, choice of the store tier, and eviction.
 *
 * <p>The value of a block, per byte, is the probability that its session returns within the horizon, multiplied by the
 * recompute time that it saves. Alternatives considered: LRU eviction ignores that teams return after different gaps,
 * so blocks of a team that never returns displace those of a team that returns the next day; exporting everything fills
 * the links with blocks that are never read.
 */
package org.cowslipbank.decision.retention;
