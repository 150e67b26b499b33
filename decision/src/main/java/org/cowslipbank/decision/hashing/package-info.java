/**
 * Which members of a set a key belongs to: rendezvous (highest random weight) hashing.
 *
 * <p>Alternatives considered: a hash ring needs many virtual points per node for an even share; jump hashing cannot
 * remove an arbitrary member. Rendezvous hashing moves only the keys of a member that goes, and needs no state.
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
package org.cowslipbank.decision.hashing;
