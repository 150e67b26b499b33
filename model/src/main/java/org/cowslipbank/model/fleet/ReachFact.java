package org.cowslipbank.model.fleet;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Says whether a gateway node hears from another data centre. The greater version wins; at the same version
 * "reachable" wins. Facts of different gateways stand side by side, so that two gateways that disagree do not undo each
 * other's statement.
 *
 * @param gateway the node that judges
 * @param dataCentre the data centre it judges
 * @param reachable true if probes are answered
 * @param version version of the statement, at least the wall-clock milliseconds at which it was made
 */
public record ReachFact(VmId gateway, DataCentreId dataCentre, boolean reachable, long version) {
    /**
     * Merges two facts of the same gateway about the same data centre.
     *
     * @param other the other fact
     * @return the one that takes precedence
     */
    public ReachFact merge(ReachFact other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        return reachable ? this : other;
    }
}
