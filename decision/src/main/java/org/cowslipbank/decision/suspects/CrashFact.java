package org.cowslipbank.decision.suspects;

import org.cowslipbank.model.UpstreamId;

/**
 * A request was in flight at an upstream when the upstream crashed.
 *
 * @param fingerprint the request's fingerprint
 * @param upstream the crashed upstream
 * @param atMillis wall-clock time at which the reporting node detected the crash
 * @param expiresAtMillis wall-clock time at which the fact is dropped
 */
public record CrashFact(long fingerprint, UpstreamId upstream, long atMillis, long expiresAtMillis) {}
