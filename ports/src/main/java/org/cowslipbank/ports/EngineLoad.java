package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An engine's load report.
 *
 * @param running runs in the batch
 * @param waiting runs that are queued
 * @param waitingPromptTokens prompt tokens of the queued runs, not yet computed
 * @param prefillTokensPerSecond rate at which prompt tokens are computed
 * @param slots largest number of runs in the batch
 * @param loaded the model, weight version and adapter currently loaded
 * @param role its current role
 * @param loading true while the engine loads new weights
 * @param reportAgeMillis age of the report in milliseconds when it was sent
 */
public record EngineLoad(
        int running,
        int waiting,
        long waitingPromptTokens,
        double prefillTokensPerSecond,
        int slots,
        ModelRef loaded,
        EngineRole role,
        boolean loading,
        long reportAgeMillis) {}
