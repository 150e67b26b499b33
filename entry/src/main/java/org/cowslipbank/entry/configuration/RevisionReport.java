package org.cowslipbank.entry.configuration;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Configuration revision that a node reports to its peers with every probe and acknowledgement.
 *
 * @param node the reporting node
 * @param dataCentre its data centre
 * @param revision the applied revision, -1 if none
 * @param confirmedAgeMillis milliseconds since the platform or a peer last confirmed the revision, -1 if neither has
 */
public record RevisionReport(VmId node, DataCentreId dataCentre, long revision, long confirmedAgeMillis) {}
