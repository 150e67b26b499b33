package org.cowslipbank.cli;

/** Exit codes of the program. */
enum ExitCode {
    /** Done. */
    DONE(0),
    /** A stated outcome was missed. */
    OUTCOME_MISSED(1),
    /** Usage, settings or configuration are wrong. */
    BAD_INPUT(2),
    /** A node or the platform could not be reached. */
    UNREACHABLE(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    int value() {
        return value;
    }
}
