package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An engine's load report.
 *
 * @param running runs in the batch
 * @param waiting runs that wait
 * @param waitingPromptTokens prompt tokens that wait to be computed
 * @param prefillTokensPerSecond rate at which prompt tokens are computed
 * @param slots the most runs in the batch
 * @param loaded the model, weight version and adapter now loaded
 * @param role the role that it has taken
 * @param loading true while new weights load
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
