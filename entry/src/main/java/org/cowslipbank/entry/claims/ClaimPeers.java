package org.cowslipbank.entry.claims;

/**
 * Access to the other nodes, as the claims need it.
 *
 * @param owners selects the owner of each partition
 * @param forwarder sends requests to other nodes
 * @param sequenceQuery queries all other nodes for a partition's highest sequence
 */
public record ClaimPeers(PartitionOwners owners, ClaimForwarder forwarder, PeerSequenceQuery sequenceQuery) {}
