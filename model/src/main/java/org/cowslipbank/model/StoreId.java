package org.cowslipbank.model;

/**
 * Identifies a store VM.
 *
 * @param value the identifier's text, not blank
 */
public record StoreId(String value) implements Comparable<StoreId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public StoreId {
        Identifiers.requireText("StoreId", value);
    }

    @Override
    public int compareTo(StoreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
