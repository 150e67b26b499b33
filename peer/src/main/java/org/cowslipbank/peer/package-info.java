/**
 * TCP framing with MessagePack between nodes: typed messages, mutual authentication, heartbeats and request/response.
 *
 * <p>A frame is a four-byte length and a sequence of MessagePack values that starts with the message's short identifier.
 * Alternatives considered: HTTP between nodes costs several hundred header bytes a message, which does not fit in 2 KB
 * a second for all control traffic; UDP would need its own fragmentation for configuration shards.
 */
package org.cowslipbank.peer;
