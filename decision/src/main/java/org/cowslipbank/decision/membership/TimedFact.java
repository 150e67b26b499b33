package org.cowslipbank.decision.membership;

/**
 * A fact with its expiry, or for a load digest its measurement time, on this node's clock.
 *
 * @param fact the fact
 * @param atMillis when the fact expires; for a load digest when it was measured
 */
record TimedFact<F>(F fact, long atMillis) {}
