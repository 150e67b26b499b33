package org.cowslipbank.decision.routing;

/** Whether blocks can be fetched over the link of a store. */
public enum LinkState {
    /** The store answers requests. */
    UP,
    /** The store timed out and has not answered since. */
    DOWN
}
