package org.cowslipbank.bench.routing;

/**
 * Request pattern of one team in a workload.
 *
 * @param share share of all sessions
 * @param hasSession whether its callers send a session key
 * @param returnProbability probability that a session continues after a run
 * @param gapMedianMillis median time from one request of a session to the next, in milliseconds
 * @param firstTokensMin minimum length in tokens of a session's first prompt
 * @param firstTokensMax maximum length in tokens of a session's first prompt
 * @param addedTokensMax maximum number of tokens by which a prompt grows at a return, including the last answer
 */
record TeamProfile(
        double share,
        boolean hasSession,
        double returnProbability,
        double gapMedianMillis,
        int firstTokensMin,
        int firstTokensMax,
        int addedTokensMax) {}
