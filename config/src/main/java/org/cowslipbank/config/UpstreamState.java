package org.cowslipbank.config;

/** Whether an upstream takes new work. */
public enum UpstreamState {
    /** Takes new work. */
    ACTIVE,
    /** Finishes what it has and takes no new work. */
    LEAVING
}
