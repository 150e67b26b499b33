package org.cowslipbank.decision.suspects;

import org.cowslipbank.model.UpstreamId;

/**
 * A request was in flight at an upstream when it crashed.
 *
 * @param fingerprint the request's fingerprint
 * @param upstream the upstream
 * @param atMillis wall-clock time at which the reporting node saw the crash
 * @param expiresAtMillis wall-clock time at which the fact is forgotten
 */
public record CrashFact(long fingerprint, UpstreamId upstream, long atMillis, long expiresAtMillis) {}
