package org.cowslipbank.bench.load;

/**
 * One request that the load tool sends.
 *
 * @param number position in the order of arrival, from zero
 * @param offsetNanos intended start in nanoseconds after the start of the run
 * @param session session key
 * @param team index of the team
 * @param turn number of earlier requests in the session
 * @param prompt the prompt
 */
record LoadRequest(long number, long offsetNanos, String session, int team, int turn, String prompt) {}
