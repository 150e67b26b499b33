package org.cowslipbank.ports;

/** What an engine is used for. */
public enum EngineRole {
    /** Takes new runs. */
    SERVING,
    /** Finishes its runs and takes no new ones. */
    DRAINING
}
