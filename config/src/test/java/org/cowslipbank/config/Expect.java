package org.cowslipbank.config;

import java.util.Objects;

/** Assertions for the tests of this package. */
final class Expect {
    private Expect() {}

    static void equal(Object expected, Object actual) {
        if (!Objects.equals(expected, actual)) {
            throw new AssertionError("expected <" + expected + "> but was <" + actual + ">");
        }
    }

    static void isTrue(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
