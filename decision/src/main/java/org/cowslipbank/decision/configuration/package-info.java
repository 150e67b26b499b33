/**
 * Which revision of the configuration a node applies, whether it may still serve, and how a change is written.
 *
 * <p>A root value names the shards that hold the teams and the fleet. A change writes new shards and swaps the root, so
 * one writer wins and all changes are in one order; the audit record is part of the root. Probes carry the revision, so
 * a node that the platform does not reach learns of it from its peers.
 *
 * <p>Alternatives considered: one value holds at most 1 MB, less than 7,300 teams need; a watch per shard multiplies
 * the counted calls; shards named by content alone could be deleted by one change while another writes them again, so
 * a shard's key also names the change that wrote it.
 */
package org.cowslipbank.decision.configuration;
