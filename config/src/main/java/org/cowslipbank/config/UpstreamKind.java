package org.cowslipbank.config;

/** Kind of an upstream. */
public enum UpstreamKind {
    /** An engine that runs models. */
    ENGINE,
    /** An instance of a plain service. */
    SERVICE
}
