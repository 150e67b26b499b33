/**
 * The configuration of a node: following the root value, fetching shards, confirming the revision with the platform and
 * the peers, and making the operators' changes.
 */
package org.cowslipbank.entry.configuration;
