package org.cowslipbank.model;

/**
 * Identifies a session of a caller, sent as {@code prompt_cache_key}.
 *
 * @param value the identifier's text, not blank
 */
public record SessionKey(String value) implements Comparable<SessionKey> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public SessionKey {
        Identifiers.requireText("SessionKey", value);
    }

    @Override
    public int compareTo(SessionKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
