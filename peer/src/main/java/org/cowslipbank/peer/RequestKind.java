package org.cowslipbank.peer;

/** What a generic request asks. The position is the identifier on the wire: append only. */
public enum RequestKind {
    /** Forwards a non-repeatable call to the owner of its claims partition. */
    CLAIM,
    /** Asks for the configuration's root value. */
    CONFIGURATION_ROOT,
    /** Asks for one configuration shard by its content hash. */
    CONFIGURATION_SHARD,
    /** Asks for the member table and facts, for the status command. */
    STATUS,
    /** Asks for the highest sequence that a node knows of a claims partition. */
    CLAIM_SEQUENCE,
    /** Tells the node that a session was sent to that the session is about to return. */
    PREFETCH,
    /** Tells or asks about requests that were in flight at crashes of upstreams. */
    SUSPECTS
}
