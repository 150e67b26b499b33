package org.cowslipbank.entry.suspects;

import org.cowslipbank.model.UpstreamId;

/**
 * An upstream that a suspect runs on alone.
 *
 * @param upstream the upstream
 * @param fingerprint the suspect's fingerprint
 * @param untilMillis wall-clock time at which the reservation ends; zero releases it at once
 */
record Reservation(UpstreamId upstream, long fingerprint, long untilMillis) {}
