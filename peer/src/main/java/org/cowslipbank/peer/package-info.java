/**
 * TCP framing with MessagePack between nodes: typed messages, mutual authentication, heartbeats and request/response.
 *
 * <p>A frame is a four-byte length and a sequence of MessagePack values that starts with the numeric message type.
 * Alternatives considered: HTTP between nodes costs several hundred header bytes per message, which does not fit into the
 * budget of 2 KB per second for all control traffic; UDP would need fragmentation of its own for configuration shards.
 */
package org.cowslipbank.peer;
