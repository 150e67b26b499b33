package org.cowslipbank.entry.claims;

import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.model.VmId;

/**
 * Identity of a node and the settings of its claims.
 *
 * @param self this node
 * @param incarnation text unique to this run of the node, such as a random one chosen at start
 * @param settings settings of the claims, identical on all nodes of the region
 */
public record ClaimNode(VmId self, String incarnation, ClaimSettings settings) {}
