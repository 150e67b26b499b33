package org.cowslipbank.model.relay;

import java.util.List;

/**
 * One version of the operators' configuration.
 *
 * @param version its version; increases, not always by one
 * @param routes the routes
 * @param services the services, each a group of upstreams
 * @param stores the store VMs for cache blocks
 * @param teams the teams; empty if requests carry no bearer keys
 * @param limits size limits and timeouts for client requests
 */
public record RelayConfiguration(
        long version,
        List<Route> routes,
        List<RelayService> services,
        List<CacheStore> stores,
        List<RelayTeam> teams,
        ClientLimits limits) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public RelayConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        stores = List.copyOf(stores);
        teams = List.copyOf(teams);
    }
}
