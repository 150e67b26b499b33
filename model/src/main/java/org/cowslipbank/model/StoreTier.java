package org.cowslipbank.model;

/** Storage tier of a store VM. */
public enum StoreTier {
    /** The store's memory: fast and small. */
    MEMORY,
    /** The store's disk: slower and larger. */
    DISK
}
