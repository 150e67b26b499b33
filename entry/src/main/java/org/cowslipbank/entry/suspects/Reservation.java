package org.cowslipbank.entry.suspects;

import org.cowslipbank.model.UpstreamId;

/**
 * Reservation of an upstream for the exclusive run of one suspect.
 *
 * @param upstream the reserved upstream
 * @param fingerprint the suspect's fingerprint
 * @param untilMillis wall-clock time at which the reservation ends; zero releases it at once
 */
record Reservation(UpstreamId upstream, long fingerprint, long untilMillis) {}
