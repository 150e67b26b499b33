package org.cowslipbank.cli;

/** Thrown if the arguments of a command are invalid or it could not be started. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
