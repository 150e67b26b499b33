package org.cowslipbank.ports;

/**
 * Outcome of a compare-and-swap.
 *
 * @param swapped true if the write took effect
 * @param version the key's version after the call, zero if the key does not exist
 */
public record CasResult(boolean swapped, long version) {}
