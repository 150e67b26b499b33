package org.cowslipbank.model;

/**
 * Identifies a team, the unit of isolation for prompts, cache and answers.
 *
 * @param value the identifier's text, not blank
 */
public record TeamId(String value) implements Comparable<TeamId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public TeamId {
        Identifiers.requireText("TeamId", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
