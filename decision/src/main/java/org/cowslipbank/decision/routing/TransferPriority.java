package org.cowslipbank.decision.routing;

/** Priority of a transfer on a link, most urgent first. */
public enum TransferPriority {
    /** A request waits for the blocks. */
    FOREGROUND,
    /** An address lookup announced that a request may come. */
    PREFETCH,
    /** Blocks of a finished run go to a store. */
    EXPORT
}
