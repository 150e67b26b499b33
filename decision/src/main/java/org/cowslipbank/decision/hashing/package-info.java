/**
 * Assignment of keys to members by rendezvous (highest random weight) hashing.
 *
 * <p>Rendezvous hashing needs no state, and the removal of a member moves only the keys of that member. Alternatives
 * considered: a hash ring needs many virtual nodes for each member to spread the keys evenly; jump hashing cannot
 * remove an arbitrary member. Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
package org.cowslipbank.decision.hashing;
