package org.cowslipbank.config;

import java.util.List;

/**
 * A model with its weight versions.
 *
 * @param name the name that callers use
 * @param activeVersion weight version on which new requests run
 * @param versions the versions of its weights
 */
public record Model(String name, String activeVersion, List<ModelVersion> versions) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public Model {
        versions = List.copyOf(versions);
    }
}
