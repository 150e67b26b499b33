package org.cowslipbank.model.relay;

/**
 * A store VM for cache blocks.
 *
 * @param name its service name
 * @param address its address as {@code IP:port}
 * @param dataCentre its data centre
 * @param capacityTokens its capacity in tokens
 * @param maxWaitingCalls long polls for cache events that it accepts at once, over all nodes
 * @param managed true if it evicts nothing by itself
 */
public record CacheStore(
        String name, String address, String dataCentre, long capacityTokens, int maxWaitingCalls, boolean managed) {}
