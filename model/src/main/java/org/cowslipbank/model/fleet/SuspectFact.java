package org.cowslipbank.model.fleet;

/**
 * Says that a request was in flight at an upstream when the upstream crashed. Facts form a set by fingerprint and
 * crash, so the crashes of one request that different nodes saw add up.
 *
 * @param fingerprint fingerprint of the request
 * @param crash identifies the crash, the same for every request in flight at it
 * @param cleared true once the request is known not to have caused the crash; wins over false
 * @param remainingSeconds time in seconds after which the fact is dropped
 */
public record SuspectFact(long fingerprint, long crash, boolean cleared, int remainingSeconds) {}
