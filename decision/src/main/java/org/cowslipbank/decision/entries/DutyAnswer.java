package org.cowslipbank.decision.entries;

import java.util.Optional;

import org.cowslipbank.decision.membership.NodeAddress;

/**
 * Says which node holds a duty.
 *
 * @param owner the node, empty if none takes work
 * @param mine true if it is this node and its view is confirmed, so that it may act
 */
public record DutyAnswer(Optional<NodeAddress> owner, boolean mine) {}
