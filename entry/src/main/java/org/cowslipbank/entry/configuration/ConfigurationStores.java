package org.cowslipbank.entry.configuration;

import org.cowslipbank.ports.KeyValueStore;

/**
 * Views of the home region's key-value service. A node's share of the platform's rate suffices to follow the
 * configuration, but the first import of thousands of teams writes over a hundred shards; operators' changes are rare,
 * so they have a budget of their own.
 *
 * @param follow for the watch and for shards, behind the node's share at the priority of configuration
 * @param change for changes, behind a budget of some 100 calls in any one second
 * @param cleanUp for deletes, behind the budget of changes at the priority of audit and clean-up
 */
public record ConfigurationStores(KeyValueStore follow, KeyValueStore change, KeyValueStore cleanUp) {}
