/**
 * The configuration of a node: watches the root value, fetches shards, confirms the applied revision with the platform
 * and the peers, and makes operators' changes.
 */
package org.cowslipbank.entry.configuration;
