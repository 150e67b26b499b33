/**
 * Sharded storage of the configuration, the writes of a change, and whether a node's revision is current enough to
 * serve.
 *
 * <p>The root refers to the shards that hold the teams and the rest of the configuration. A change writes new shards
 * and swaps the root, so one writer wins and all changes have one order; the audit record is part of the root. Probes
 * between nodes carry the revision, so a node that cannot reach the platform learns of a new revision from its peers.
 *
 * <p>Alternatives considered: a single value holds at most 1 MB, less than 7,300 teams need; a watch for each shard
 * multiplies the calls that count against the rate limit; shards named by content alone could be deleted by one change
 * while another one writes them again, so a shard's key also contains the change that wrote it.
 */
package org.cowslipbank.decision.configuration;
