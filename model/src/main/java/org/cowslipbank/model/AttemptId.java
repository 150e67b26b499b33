package org.cowslipbank.model;

/**
 * Identifies one attempt to run a request at one upstream, so that a late answer can be matched to its attempt.
 *
 * @param value the identifier's text, not blank
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public AttemptId {
        Identifiers.requireText("AttemptId", value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
