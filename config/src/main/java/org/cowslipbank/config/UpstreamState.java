package org.cowslipbank.config;

/** Whether an upstream accepts new work. */
public enum UpstreamState {
    /** Accepts new work. */
    ACTIVE,
    /** Drains: finishes its running work and accepts no new work. */
    LEAVING
}
