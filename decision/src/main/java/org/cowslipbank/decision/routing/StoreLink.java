package org.cowslipbank.decision.routing;

import org.cowslipbank.model.StoreId;

/**
 * State and estimated rates of the link of one store, as seen by a node.
 *
 * @param store the store
 * @param state whether the store answers
 * @param configuredBytesPerSecond configured rate of the link; the cost of link bytes is based on it
 * @param bytesPerSecond measured rate of the link in bytes per second
 * @param diskBytesPerSecond rate at which the store reads its disk, in bytes per second
 * @param queuedBytes bytes queued on the link with foreground priority
 * @param latencyMillis time until the first byte arrives on an idle link, in milliseconds
 */
public record StoreLink(
        StoreId store,
        LinkState state,
        double configuredBytesPerSecond,
        double bytesPerSecond,
        double diskBytesPerSecond,
        long queuedBytes,
        double latencyMillis) {}
