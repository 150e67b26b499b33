package org.cowslipbank.bench.routing;

/**
 * One request of the workload. All policies serve the same requests.
 *
 * @param session index of the session
 * @param team index of the team
 * @param lookupMillis time of the endpoint lookup, in milliseconds of the model's clock
 * @param arrivalMillis earliest time of arrival at the node, in milliseconds of the model's clock
 * @param promptTokens length of the prompt in tokens
 * @param reusableTokens leading prompt tokens that an earlier run of the session has computed, zero for a first prompt
 * @param answerTokens length of the answer in tokens
 * @param returnMillis arrival of the session's next request, {@link Long#MAX_VALUE} if there is none
 */
record Arrival(
        int session,
        int team,
        long lookupMillis,
        long arrivalMillis,
        int promptTokens,
        int reusableTokens,
        int answerTokens,
        long returnMillis) {
    int fullBlocks() {
        return promptTokens / Workload.BLOCK_TOKENS;
    }

    int blocksWithAnswer() {
        return (promptTokens + answerTokens) / Workload.BLOCK_TOKENS;
    }
}
