/**
 * Endpoint lookup, which chooses the entry nodes for a team and session, and the assignment of duties to nodes.
 *
 * <p>Both use rendezvous hashing over the live nodes, so nodes with equal membership views give equal answers without
 * coordination. Alternatives considered: an assignment table in the platform would need a write for each change and
 * would be unavailable together with the platform; random choice would spread a team's sessions and limits over all
 * nodes.
 */
package org.cowslipbank.decision.entries;
