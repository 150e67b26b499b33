package org.cowslipbank.peer;

/** Kinds of request. The ordinal is sent on the wire: only append constants, never reorder or remove them. */
public enum RequestKind {
    /** Forwards a non-repeatable call to the owner of its claims partition. */
    CLAIM,
    /** Fetches the configuration's root value. */
    CONFIGURATION_ROOT,
    /** Fetches one configuration shard by its content hash. */
    CONFIGURATION_SHARD,
    /** Fetches the member table and gossiped facts, for the status command. */
    STATUS,
    /** Fetches the highest sequence number that a node has seen for a claims partition. */
    CLAIM_SEQUENCE,
    /** Notifies the node to which a session was routed that the session is about to return. */
    PREFETCH,
    /** Reports or queries requests that were in flight when an upstream crashed. */
    SUSPECTS
}
