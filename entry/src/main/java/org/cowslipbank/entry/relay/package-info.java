/**
 * Relays requests with an opaque body between clients and upstreams. One event loop owns all traffic: clients'
 * connections, upstreams' connections and what the decisions of {@code decision.relay} remember. The control thread
 * follows the metadata store and hands immutable views over.
 */
package org.cowslipbank.entry.relay;
