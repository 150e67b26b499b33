package org.cowslipbank.cli;

/** Exit codes of the process. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** A stated bound, guarantee or expected outcome was not met, or the request conflicted. */
    OUTCOME_MISSED(1),
    /** Usage, settings or configuration are invalid. */
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
