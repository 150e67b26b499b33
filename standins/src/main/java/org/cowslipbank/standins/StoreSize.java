package org.cowslipbank.standins;

/**
 * Size of a store.
 *
 * @param memoryBytes bytes of memory
 * @param diskBytes bytes of disk
 * @param linkBytesPerSecond rate of the link in bytes a second
 */
public record StoreSize(long memoryBytes, long diskBytes, long linkBytesPerSecond) {}
