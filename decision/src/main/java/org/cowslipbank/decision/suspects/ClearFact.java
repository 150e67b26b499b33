package org.cowslipbank.decision.suspects;

/**
 * A request ran to its end, so earlier crashes were not its doing.
 *
 * @param fingerprint the request's fingerprint
 * @param atMillis wall-clock time at which it finished
 * @param expiresAtMillis wall-clock time at which the fact is forgotten
 */
public record ClearFact(long fingerprint, long atMillis, long expiresAtMillis) {}
