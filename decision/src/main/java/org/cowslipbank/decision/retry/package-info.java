/**
 * Retry decisions: whether a failed attempt may be sent again, and whether the retry budget allows it now.
 *
 * <p>Only one node retries a request, at most twice. A request is sent again only if it certainly did not run or is
 * repeatable. Retries are limited to a tenth of the node's requests in a sliding window of 10 s. Until the window has
 * filled after a start, at most one retry a second is allowed, because a restarted fleet would otherwise add its
 * retries to the load that follows an outage.
 *
 * <p>When the budget is used up, the outcome contains the time after which to ask again. The caller's stream waits
 * instead of failing: after an upstream crashes, all its requests need another attempt at once, and spreading these
 * over the window keeps the ratio without refusing requests that still have time.
 *
 * <p>Alternatives considered: a token bucket filled by requests gives the same long-term ratio but lets a burst that
 * was saved up long ago pass; a limit for each request alone doubles or triples the load on a failing fleet.
 */
package org.cowslipbank.decision.retry;
