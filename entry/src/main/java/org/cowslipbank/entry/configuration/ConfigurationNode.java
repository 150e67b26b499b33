package org.cowslipbank.entry.configuration;

import java.util.Set;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Identity of a node and the settings of its configuration service.
 *
 * @param self this node
 * @param dataCentre its data centre
 * @param dataCentres data centres of the node's settings; a change must also reach those named in the configuration
 * @param stalenessBoundMillis time without confirmation after which the node takes no new work, in milliseconds;
 *     {@link #SMALL_FLEET_STALENESS_BOUND_MILLIS} or {@link #LARGE_FLEET_STALENESS_BOUND_MILLIS}
 */
public record ConfigurationNode(
        VmId self, DataCentreId dataCentre, Set<DataCentreId> dataCentres, long stalenessBoundMillis) {
    /** Staleness bound of current deployments, in milliseconds. */
    public static final long SMALL_FLEET_STALENESS_BOUND_MILLIS = 4_000;

    /** Staleness bound of a fleet of the target size, in milliseconds. */
    public static final long LARGE_FLEET_STALENESS_BOUND_MILLIS = 12_000;

    /** Makes the set immutable. */
    public ConfigurationNode {
        dataCentres = Set.copyOf(dataCentres);
    }
}
