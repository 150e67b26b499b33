package org.cowslipbank.entry.configuration;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Configuration revision that a node reports to its peers with every probe and acknowledgement.
 *
 * @param node the reporting node
 * @param dataCentre its data centre
 * @param revision the applied revision, -1 if none
 * @param confirmedAgeMillis time in milliseconds since the revision was last confirmed, by the platform or through a peer;
 *     -1 if it never was
 */
public record PeerReport(VmId node, DataCentreId dataCentre, long revision, long confirmedAgeMillis) {}
