package org.cowslipbank.ports;

/** Whether an engine accepts new runs. */
public enum EngineRole {
    /** Accepts new runs. */
    SERVING,
    /** Finishes its current runs and accepts no new ones. */
    DRAINING
}
