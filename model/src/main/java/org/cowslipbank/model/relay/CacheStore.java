package org.cowslipbank.model.relay;

/**
 * A store VM for cache blocks.
 *
 * @param name its service name
 * @param address its address as {@code IP:port}
 * @param dataCentre its data centre
 * @param capacityTokens tokens that fit into it
 * @param maxWaitingCalls calls for events that it holds at once, of all nodes together
 * @param managed true if it drops nothing by itself
 */
public record CacheStore(
        String name, String address, String dataCentre, long capacityTokens, int maxWaitingCalls, boolean managed) {}
