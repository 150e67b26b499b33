package org.cowslipbank.entry.configuration;

import java.util.Set;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Identity and settings of a node's configuration.
 *
 * @param self this node
 * @param dataCentre its data centre
 * @param dataCentres data centres of the settings; a change also needs those that the configuration names
 * @param boundMillis time after which an unconfirmed node takes no new work: 4,000 today, 12,000 at the target size
 */
public record ConfigurationNode(VmId self, DataCentreId dataCentre, Set<DataCentreId> dataCentres, long boundMillis) {
    /** Staleness bound of the deployments of today, in milliseconds. */
    public static final long BOUND_TODAY_MILLIS = 4_000;

    /** Staleness bound at the target size, in milliseconds. */
    public static final long BOUND_TARGET_MILLIS = 12_000;

    /** Copies the set. */
    public ConfigurationNode {
        dataCentres = Set.copyOf(dataCentres);
    }
}
