package org.cowslipbank.entry.configuration;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * What a node tells its peers with every probe and acknowledgement.
 *
 * @param node the node
 * @param dataCentre its data centre
 * @param revision the revision that it has applied, -1 if none
 * @param confirmedAgeMillis age of the revision's last confirmation in milliseconds, -1 if there is none
 */
public record PeerReport(VmId node, DataCentreId dataCentre, long revision, long confirmedAgeMillis) {}
