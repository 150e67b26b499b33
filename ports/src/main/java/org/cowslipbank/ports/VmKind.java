package org.cowslipbank.ports;

/** What runs on a VM. */
public enum VmKind {
    /** A node of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE,
    /** A cache store. */
    STORE
}
