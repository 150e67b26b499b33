package org.cowslipbank.bench.routing;

/**
 * Habits of one team in a workload.
 *
 * @param share share of all sessions
 * @param hasSession whether its callers send a session key
 * @param returnProbability probability that a run is followed by another of its session
 * @param gapMedianMillis median time until the return, in milliseconds
 * @param firstTokensMin least length of a session's first prompt
 * @param firstTokensMax greatest length of a session's first prompt
 * @param addedTokensMax greatest number of tokens, the last answer included, by which a prompt grows at a return
 */
record TeamProfile(
        double share,
        boolean hasSession,
        double returnProbability,
        double gapMedianMillis,
        int firstTokensMin,
        int firstTokensMax,
        int addedTokensMax) {}
