package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.LoadFact;

/**
 * A load digest and when it was taken.
 *
 * @param load the digest
 * @param takenMillis when it was taken, on this node's clock
 */
public record ObservedLoad(LoadFact load, long takenMillis) {}
