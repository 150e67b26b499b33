package org.cowslipbank.ports;

/**
 * Space and link rate of a store VM.
 *
 * @param memoryUsedBytes memory used by blocks, in bytes
 * @param memoryCapacityBytes memory capacity in bytes
 * @param diskUsedBytes disk space used by blocks, in bytes
 * @param diskCapacityBytes disk capacity in bytes
 * @param linkBytesPerSecond configured rate of the store's link, in bytes per second
 */
public record StoreStatus(
        long memoryUsedBytes,
        long memoryCapacityBytes,
        long diskUsedBytes,
        long diskCapacityBytes,
        long linkBytesPerSecond) {}
