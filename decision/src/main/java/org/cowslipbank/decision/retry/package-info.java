/**
 * May a failed attempt be sent again, and does the retry budget allow it now?
 *
 * <p>A request has one node that retries it and at most two further attempts. Work is sent again only if it certainly
 * did not run, or if it is repeatable. Retries are limited to a tenth of the node's requests over a sliding window of
 * 10 s. Until the window has filled after a start, at most one retry a second is allowed, because a restarted fleet
 * would otherwise add its retries to the load that follows an outage.
 *
 * <p>When the budget is empty the outcome names the time at which it next allows a retry. The caller's stream waits
 * for it instead of failing: after an upstream's crash all its requests need an attempt at once, and spreading them
 * over the window keeps the ratio without refusing any that has time.
 *
 * <p>Alternatives considered: a token bucket filled by requests gives the same long-term ratio, but lets a burst that
 * was saved up long ago pass; a limit for each request alone doubles or triples the load of a failing fleet.
 */
package org.cowslipbank.decision.retry;
