package org.cowslipbank.decision.membership;

import org.cowslipbank.model.fleet.LoadFact;

/**
 * A load digest and its measurement time.
 *
 * @param load the digest
 * @param takenMillis when the load was measured, on this node's clock
 */
public record ObservedLoad(LoadFact load, long takenMillis) {}
