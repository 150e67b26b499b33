package org.cowslipbank.ports;

/**
 * A lease of the key-value service.
 *
 * @param name the lease's name
 * @param holder the holder's name
 * @param fencingToken number that grows with every change of holder
 * @param ttlMillis remaining time in milliseconds when the service answered
 */
public record Lease(String name, String holder, long fencingToken, long ttlMillis) {}
