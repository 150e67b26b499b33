package org.cowslipbank.bench.routing;

/**
 * One request of the workload; equal for all policies.
 *
 * @param session index of the session
 * @param team index of the team
 * @param lookupMillis time of the address lookup
 * @param arrivalMillis time of arrival at the node
 * @param promptTokens length of the prompt
 * @param knownTokens leading tokens that an earlier run of the session has computed, zero for a first prompt
 * @param answerTokens length of the answer
 * @param returnMillis time of the session's next request, {@link Long#MAX_VALUE} if there is none
 */
record Arrival(
        int session,
        int team,
        long lookupMillis,
        long arrivalMillis,
        int promptTokens,
        int knownTokens,
        int answerTokens,
        long returnMillis) {
    int fullBlocks() {
        return promptTokens / Workload.BLOCK_TOKENS;
    }

    int blocksAfterRun() {
        return (promptTokens + answerTokens) / Workload.BLOCK_TOKENS;
    }
}
