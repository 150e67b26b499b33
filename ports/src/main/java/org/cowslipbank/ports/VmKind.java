package org.cowslipbank.ports;

/** Role of a VM. */
public enum VmKind {
    /** A node of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE,
    /** A store for cache blocks. */
    STORE
}
