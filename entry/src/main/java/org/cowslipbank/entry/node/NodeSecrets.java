package org.cowslipbank.entry.node;

import java.util.Map;

/**
 * Secrets of a node. They are read from files and never printed.
 *
 * @param fleetSecret the fleet's secret, at least 16 bytes
 * @param operatorsByKeySha256 operators' names by SHA-256 of their keys in lower-case hexadecimal
 */
public record NodeSecrets(byte[] fleetSecret, Map<String, String> operatorsByKeySha256) {
    /** Copies the map. */
    public NodeSecrets {
        operatorsByKeySha256 = Map.copyOf(operatorsByKeySha256);
    }

    @Override
    public String toString() {
        return "NodeSecrets[" + operatorsByKeySha256.size() + " operators]";
    }
}
