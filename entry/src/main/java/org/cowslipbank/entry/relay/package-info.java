/**
 * Relays requests with an opaque body between clients and upstreams. One event loop, the traffic thread, owns the
 * connections of clients and upstreams and the mutable state of {@code decision.relay}. The control thread follows the
 * metadata store and publishes immutable {@link org.cowslipbank.entry.relay.PlatformView} snapshots.
 */
package org.cowslipbank.entry.relay;
