package org.cowslipbank.decision.membership;

/**
 * A fact with a time on this node's clock.
 *
 * @param fact the fact
 * @param atMillis when the fact is dropped; for a load digest when it was taken
 */
record Held<F>(F fact, long atMillis) {}
