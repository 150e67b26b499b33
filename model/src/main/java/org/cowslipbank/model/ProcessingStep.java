package org.cowslipbank.model;

/** Processing step at which an error arose. */
public enum ProcessingStep {
    /** Reading the node's settings at start-up. */
    SETTINGS,
    /** Validating or applying the configuration. */
    CONFIGURE,
    /** Authenticating a caller, an operator or a peer. */
    AUTHENTICATE,
    /** Parsing a caller's request. */
    PARSE,
    /** Admission under team limits and capacity. */
    ADMIT,
    /** Choosing an upstream. */
    ROUTE,
    /** Looking up cache blocks at stores or fetching them. */
    FETCH,
    /** Running a prompt at an engine. */
    GENERATE,
    /** Writing or reading the claim of an idempotency key. */
    CLAIM,
    /** Calling a plain service. */
    SERVICE_CALL,
    /** Calling the platform's key-value service. */
    KEY_VALUE,
    /** Reading the platform's VM list. */
    VM_LIST,
    /** Calling another node. */
    PEER,
    /** Sending an order, such as loading weights, to an upstream. */
    ORDER,
    /** Exporting cache blocks to a store. */
    EXPORT
}
