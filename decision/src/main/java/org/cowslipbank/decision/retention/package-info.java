/**
 * Which blocks of a finished run are exported, in which tier a store keeps them, and which are evicted.
 *
 * <p>A block is worth the probability that its session returns within the horizon times the recompute time it saves, per
 * byte. Alternatives considered: least recently used (ignores that teams return after different gaps, so blocks of a
 * team that never returns push out those of one that returns tomorrow) and exporting everything (fills the links with
 * blocks that are never read).
 */
package org.cowslipbank.decision.retention;
