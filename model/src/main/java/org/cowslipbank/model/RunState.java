package org.cowslipbank.model;

/** Whether a refused or failed request is known to have run. */
public enum RunState {
    /** The request did not run, so a retry cannot run it twice. */
    NOT_RUN("not_run"),
    /** The request ran, at least in part. */
    RAN("ran"),
    /** Whether the request ran is not known. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name used in error bodies.
     *
     * @return the wire name
     */
    public String wireName() {
        return wireName;
    }
}
