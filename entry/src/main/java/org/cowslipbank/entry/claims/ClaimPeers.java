package org.cowslipbank.entry.claims;

/**
 * What the claims need of the other nodes.
 *
 * @param owners says which nodes work on a partition
 * @param forwarder carries requests to other nodes
 * @param witness asks all other nodes
 */
public record ClaimPeers(PartitionOwners owners, ClaimForwarder forwarder, ClaimWitness witness) {}
