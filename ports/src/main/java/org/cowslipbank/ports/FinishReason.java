package org.cowslipbank.ports;

/** Why a run ended. */
public enum FinishReason {
    /** The model completed its answer. */
    STOP,
    /** The answer reached its token limit. */
    LENGTH
}
