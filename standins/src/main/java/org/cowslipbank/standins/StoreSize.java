package org.cowslipbank.standins;

/**
 * Capacities and link rate of a store.
 *
 * @param memoryBytes capacity of the memory tier in bytes
 * @param diskBytes capacity of the disk tier in bytes
 * @param linkBytesPerSecond rate of the link in bytes per second
 */
public record StoreSize(long memoryBytes, long diskBytes, long linkBytesPerSecond) {}
