package org.cowslipbank.decision.entries;

import java.util.Optional;

import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Answer to a {@link DutyQuery}: which node holds the duty.
 *
 * @param owner the node, empty if no node takes work
 * @param mine true if the owner is this node and its view is confirmed, so that it may act
 */
public record DutyAnswer(Optional<NodeAddress> owner, boolean mine) {}
