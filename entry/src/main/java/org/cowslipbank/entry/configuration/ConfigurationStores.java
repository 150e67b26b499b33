package org.cowslipbank.entry.configuration;

import org.cowslipbank.ports.KeyValueStore;

/**
 * Views of the home region's key-value service, each with its own rate budget and priority. A node's share of the
 * platform's rate suffices to follow the configuration, but the first import of thousands of teams writes over a
 * hundred shards. Operators' changes are rare, so they have a separate budget.
 *
 * @param follow for watching the root and reading shards, limited to the node's share at configuration priority
 * @param change for writing changes, limited to some 100 calls in any one second
 * @param cleanUp for deleting replaced shards, within the budget of changes at audit and clean-up priority
 */
public record ConfigurationStores(KeyValueStore follow, KeyValueStore change, KeyValueStore cleanUp) {}
