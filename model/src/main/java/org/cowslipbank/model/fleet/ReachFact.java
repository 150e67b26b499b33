package org.cowslipbank.model.fleet;

import org.cowslipbank.model.DataCentreId;

/**
 * Says whether one data centre hears from another, judged by its gateways. The greater version wins; at the same
 * version "reachable" wins.
 *
 * @param from the data centre whose gateways judge
 * @param to the data centre they judge
 * @param reachable true if probes are answered
 * @param version version of the statement, at least the wall-clock milliseconds at which it was made
 */
public record ReachFact(DataCentreId from, DataCentreId to, boolean reachable, long version) {
    /**
     * Merges two facts about the same pair.
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
