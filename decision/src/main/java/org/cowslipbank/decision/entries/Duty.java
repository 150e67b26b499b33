package org.cowslipbank.decision.entries;

/** Duties that one node holds. */
public enum Duty {
    /** Batches and indexes the claims of a partition. */
    CLAIMS_PARTITION,
    /** Reads an upstream's load and publishes its digest. */
    WATCH_UPSTREAM,
    /** Commands a model group; the lease decides in the end. */
    CONTROL_MODEL_GROUP
}
