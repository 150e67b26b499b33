package org.cowslipbank.model;

/** What is known about whether a refused or failed request ran. */
public enum RunState {
    /** The request certainly did not run. */
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
