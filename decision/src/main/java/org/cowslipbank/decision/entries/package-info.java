/**
 * Which nodes a caller should use for a team and session, and until when; which node holds a duty.
 *
 * <p>Both are rendezvous subsets over the live nodes, so nodes with equal views give equal answers without talking to
 * each other. Alternatives considered: a table of assignments in the platform would need a write per change and stop
 * with the platform; random choice would spread a team's sessions and limits over all nodes.
 */
package org.cowslipbank.decision.entries;
