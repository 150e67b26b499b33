package org.cowslipbank.decision.retention;

/**
 * A finished run whose blocks may be exported.
 *
 * @param history gaps of the run's team
 * @param hasSession false if the caller named no session, so that nothing tells when the prompt returns
 * @param blocks full blocks of the run that the store does not hold
 * @param blockBytes length of one block
 * @param recomputeBlockMillis time to recompute one block
 * @param transferBlockMillis time to move one block over the store's link at its measured peak rate
 * @param linkUseBlockMillis time to move one block over the store's link at its configured rate
 * @param linkBusyMillis time until the exports that wait on the link have left, in milliseconds
 * @param maxExportDelayMillis time for which the engine is expected to hold the blocks, in milliseconds
 * @param memory space of the store's memory
 * @param disk space of the store's disk
 * @param policy the rules
 */
public record ExportInput(
        GapHistogram history,
        boolean hasSession,
        int blocks,
        long blockBytes,
        double recomputeBlockMillis,
        double transferBlockMillis,
        double linkUseBlockMillis,
        double linkBusyMillis,
        double maxExportDelayMillis,
        TierSpace memory,
        TierSpace disk,
        RetentionPolicy policy) {}
