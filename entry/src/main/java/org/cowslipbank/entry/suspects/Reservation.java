package org.cowslipbank.entry.suspects;

import org.cowslipbank.model.UpstreamId;

/**
 * Reservation of an upstream for the exclusive run of one suspect request, that is, one that may crash engines.
 *
 * @param upstream the reserved upstream
 * @param fingerprint fingerprint of the suspect request
 * @param untilMillis wall-clock time at which the reservation ends; zero releases it at once
 */
record Reservation(UpstreamId upstream, long fingerprint, long untilMillis) {}
