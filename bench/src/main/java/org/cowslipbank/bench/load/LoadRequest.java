package org.cowslipbank.bench.load;

/**
 * One request of the load.
 *
 * @param number position in the order of arrival, from zero
 * @param offsetNanos intended start after the start of the run, in nanoseconds
 * @param session session key
 * @param team index of the team
 * @param turn number of the session's earlier requests
 * @param prompt the prompt
 */
record LoadRequest(long number, long offsetNanos, String session, int team, int turn, String prompt) {}
