package org.cowslipbank.cli;

/** The arguments of a command are wrong. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
