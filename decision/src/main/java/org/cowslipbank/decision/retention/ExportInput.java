package org.cowslipbank.decision.retention;

/**
 * Input of the export decision: a finished run whose blocks may be exported to a store.
 *
 * @param history return history of the run's team
 * @param hasSession false if the caller named no session, so that a return of the prompt cannot be predicted
 * @param blocks number of full blocks of the run that the store does not hold
 * @param blockBytes length of one block in bytes
 * @param recomputeBlockMillis time to recompute one block, in milliseconds
 * @param transferBlockMillis time to transfer one block over the store's link at its observed peak rate, in
 *     milliseconds
 * @param linkUseBlockMillis time to transfer one block over the store's link at its configured rate, in milliseconds
 * @param linkBusyMillis time until the exports queued on the link are sent, in milliseconds
 * @param maxExportDelayMillis time for which the engine is expected to hold the blocks, in milliseconds
 * @param memory space in the store's memory
 * @param disk space on the store's disk
 * @param policy the retention rules
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
