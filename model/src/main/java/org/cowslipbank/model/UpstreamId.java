package org.cowslipbank.model;

/**
 * Identifies an upstream: a model engine or a plain service.
 *
 * @param value the identifier's text, not blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public UpstreamId {
        Identifiers.requireText("UpstreamId", value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
