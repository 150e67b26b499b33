package org.cowslipbank.decision.routing;

import org.cowslipbank.model.StoreId;

/**
 * What a node knows about the link of one store.
 *
 * @param store the store
 * @param state whether the store answers
 * @param configuredBytesPerSecond rate of the link by configuration; the penalty for link bytes is in its terms
 * @param bytesPerSecond measured rate of the link in bytes a second
 * @param diskBytesPerSecond rate at which the store reads its disk, in bytes a second
 * @param queuedBytes bytes that wait on the link with foreground priority
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
