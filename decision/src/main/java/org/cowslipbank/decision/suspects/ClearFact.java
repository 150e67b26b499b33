package org.cowslipbank.decision.suspects;

/**
 * A request finished normally, so it did not cause the crashes that it was in flight at before.
 *
 * @param fingerprint the request's fingerprint
 * @param atMillis wall-clock time at which it finished
 * @param expiresAtMillis wall-clock time at which the fact is dropped
 */
public record ClearFact(long fingerprint, long atMillis, long expiresAtMillis) {}
