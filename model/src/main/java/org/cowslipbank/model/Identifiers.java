package org.cowslipbank.model;

/** Validation shared by the identifier records. */
final class Identifiers {
    private Identifiers() {}

    static void requireText(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
