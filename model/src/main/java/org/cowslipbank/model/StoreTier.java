package org.cowslipbank.model;

/** Where a store VM keeps a block. */
public enum StoreTier {
    /** The store's memory: fast and small. */
    MEMORY,
    /** The store's disk: slower and larger. */
    DISK
}
