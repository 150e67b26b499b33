package org.cowslipbank.model;

/**
 * Identifies a VM.
 *
 * @param value the identifier's text, not blank
 */
public record VmId(String value) implements Comparable<VmId> {
    /**
     * Creates an identifier.
     *
     * @param value the identifier's text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public VmId {
        Identifiers.requireText("VmId", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
