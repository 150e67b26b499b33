package org.cowslipbank.decision.routing;

/** Priority of a transfer on a link, most urgent first. */
public enum TransferPriority {
    /** Fetch for a request that is waiting. */
    FOREGROUND,
    /** Fetch for a request that an endpoint lookup announced. */
    PREFETCH,
    /** Export of the blocks of a finished run to a store. */
    EXPORT
}
