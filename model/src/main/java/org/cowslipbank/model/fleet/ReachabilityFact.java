package org.cowslipbank.model.fleet;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Whether a gateway node reaches another data centre. The greater version takes precedence; at the same version
 * "reachable" does. Facts of different gateways are kept separately, so that two gateways that disagree do not
 * overwrite each other.
 *
 * @param gateway the node that probes
 * @param dataCentre the data centre that it probes
 * @param reachable true if its probes are answered
 * @param version version of the fact, at least the wall-clock milliseconds at which it was created
 */
public record ReachabilityFact(VmId gateway, DataCentreId dataCentre, boolean reachable, long version) {
    /**
     * Merges this fact with another one of the same gateway about the same data centre.
     *
     * @param other the other fact
     * @return the one that takes precedence
     */
    public ReachabilityFact merge(ReachabilityFact other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        return reachable ? this : other;
    }
}
