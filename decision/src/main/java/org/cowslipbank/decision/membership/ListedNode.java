package org.cowslipbank.decision.membership;

/**
 * A node named by the settings' seed list or by the platform's VM list.
 *
 * @param node the node
 * @param leaving true if the platform has announced that its VM will be removed
 */
public record ListedNode(NodeAddress node, boolean leaving) {}
