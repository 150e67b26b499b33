package org.cowslipbank.config;

/** Whether an upstream accepts new work. */
public enum UpstreamState {
    /** Accepts new work. */
    ACTIVE,
    /** Accepts no new work and finishes the work that is running. */
    LEAVING
}
