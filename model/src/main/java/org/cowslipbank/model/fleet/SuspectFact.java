package org.cowslipbank.model.fleet;

/**
 * A request was in flight at an upstream when the upstream crashed. Facts form a set keyed by fingerprint and crash, so
 * that crashes observed by different nodes are counted together.
 *
 * @param fingerprint fingerprint of the request
 * @param crash identifies the crash, the same for every request in flight at it
 * @param cleared true once the request is known not to have caused the crash; takes precedence over false
 * @param remainingSeconds time in seconds until the fact expires
 */
public record SuspectFact(long fingerprint, long crash, boolean cleared, int remainingSeconds) {}
