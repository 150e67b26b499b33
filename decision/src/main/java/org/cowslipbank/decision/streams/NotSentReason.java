package org.cowslipbank.decision.streams;

/** Why an attempt was not sent. */
public enum NotSentReason {
    /** No upstream accepts the request now; one may later. */
    NO_UPSTREAM("no_upstream", true),
    /** No upstream has the weight version that generated the tokens emitted so far. */
    NO_SUCH_VERSION("weight_version_gone", false),
    /** The retry budget is exhausted for the moment. */
    BUDGET_EMPTY("retry_budget_empty", true),
    /** The retry policy forbids another attempt. */
    NOT_REPEATABLE("retry_not_allowed", false),
    /** The request is suspected of crashing upstreams and waits for a grant to run. */
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

    /** Returns whether a later attempt may succeed. */
    boolean temporary() {
        return temporary;
    }
}
