package org.cowslipbank.entry.node;

import java.util.Map;

/**
 * Secrets of a node, read from files. They are never logged: {@link #toString()} gives only the number of operators.
 *
 * @param fleetSecret secret shared by all nodes of the fleet, at least 16 bytes
 * @param operatorsByKeySha256 operators' names by SHA-256 of their keys in lower-case hexadecimal
 */
public record NodeSecrets(byte[] fleetSecret, Map<String, String> operatorsByKeySha256) {
    /** Makes an unmodifiable copy of the map; null keys and values are rejected with NullPointerException. */
    public NodeSecrets {
        operatorsByKeySha256 = Map.copyOf(operatorsByKeySha256);
    }

    @Override
    public String toString() {
        return "NodeSecrets[" + operatorsByKeySha256.size() + " operators]";
    }
}
