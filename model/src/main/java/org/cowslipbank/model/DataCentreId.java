package org.cowslipbank.model;

/**
 * Identifies a data centre.
 *
 * @param value the identifier's text, not blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public DataCentreId {
        Identifiers.requireText("DataCentreId", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
