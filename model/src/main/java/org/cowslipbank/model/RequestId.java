package org.cowslipbank.model;

/**
 * Identifies one request of a caller; all attempts of the request share it.
 *
 * @param value the identifier's text, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public RequestId {
        Identifiers.requireText("RequestId", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
