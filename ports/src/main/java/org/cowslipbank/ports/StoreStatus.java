package org.cowslipbank.ports;

/**
 * Status of a store VM.
 *
 * @param memoryUsedBytes bytes used in memory
 * @param memoryCapacityBytes bytes of memory
 * @param diskUsedBytes bytes used on disk
 * @param diskCapacityBytes bytes of disk
 * @param linkBytesPerSecond configured rate of the store's link
 */
public record StoreStatus(
        long memoryUsedBytes,
        long memoryCapacityBytes,
        long diskUsedBytes,
        long diskCapacityBytes,
        long linkBytesPerSecond) {}
