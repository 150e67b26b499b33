package org.cowslipbank.model;

/** The step of processing at which an error arose. */
public enum Step {
    /** Reading settings at start-up. */
    SETTINGS,
    /** Checking or applying the configuration. */
    CONFIGURE,
    /** Proving who a caller, an operator or a peer is. */
    AUTHENTICATE,
    /** Parsing a request. */
    PARSE,
    /** Admission under team limits and capacity. */
    ADMIT,
    /** Choosing an upstream. */
    ROUTE,
    /** Asking stores for kept blocks or fetching them. */
    FETCH,
    /** Running a prompt at an engine. */
    GENERATE,
    /** Recording or reading a claim. */
    CLAIM,
    /** Calling a plain service. */
    SERVICE_CALL,
    /** Calling the platform's key-value service. */
    KEY_VALUE,
    /** Reading the VM list. */
    VM_LIST,
    /** Talking to another node. */
    PEER,
    /** Giving an order to an upstream. */
    ORDER,
    /** Exporting blocks to a store. */
    EXPORT
}
