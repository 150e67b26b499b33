package org.cowslipbank.entry.claims;

import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.model.VmId;

/**
 * Identity and settings of a node's claims.
 *
 * @param self this node
 * @param incarnation text that no other run of any node uses, such as one drawn at random at start
 * @param settings settings of the claims, equal on all nodes of the region
 */
public record ClaimNode(VmId self, String incarnation, ClaimSettings settings) {}
