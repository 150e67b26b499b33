package org.cowslipbank.decision.relay;

/**
 * What a plan of fetches and saves goes by at one cache store.
 *
 * @param address the store's address
 * @param epoch the epoch for which its index was built
 * @param answerAgeMillis time since the store's last answer, in milliseconds
 * @param epochKnownMillis how long the store has had this epoch, as far as this node knows, in milliseconds
 */
public record CacheStoreState(String address, long epoch, long answerAgeMillis, long epochKnownMillis) {}
