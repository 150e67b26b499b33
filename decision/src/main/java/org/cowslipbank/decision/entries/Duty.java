package org.cowslipbank.decision.entries;

/** Task that one node at a time carries out. */
public enum Duty {
    /** Batches and indexes the claims of a partition. */
    CLAIMS_PARTITION,
    /** Reads an upstream's load and publishes its load digest. */
    WATCH_UPSTREAM,
    /** Sends commands to a model group; only the holder of the lease may send them. */
    CONTROL_MODEL_GROUP
}
