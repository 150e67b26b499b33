package org.cowslipbank.decision.streams;

/** Why the shell did not send an attempt. */
public enum NotSentReason {
    /** No upstream takes the request now; one may later. */
    NO_UPSTREAM("no_upstream", true),
    /** No upstream has the weight version that the emitted tokens ran on. */
    NO_SUCH_VERSION("weight_version_gone", false),
    /** The retry budget is used up for the moment. */
    BUDGET_EMPTY("retry_budget_empty", true),
    /** The retry policy forbids another attempt. */
    NOT_REPEATABLE("retry_not_allowed", false),
    /** The request waits for its turn as a suspect. */
    SUSPECT_WAITS("suspect_waits", true),
    /** The request is refused because it crashed upstreams. */
    SUSPECT_REFUSED("request_crashes_upstreams", false),
    /** The node has lost its confirmed configuration. */
    UNCONFIRMED("configuration_unconfirmed", false);

    private final String code;
    private final boolean temporary;

    NotSentReason(String code, boolean temporary) {
        this.code = code;
        this.temporary = temporary;
    }

    /**
     * Returns the code used in error bodies.
     *
     * @return the code
     */
    public String code() {
        return code;
    }

    boolean temporary() {
        return temporary;
    }
}
